package setting

import (
	"fmt"
	"reflect"
	"strings"
)

// pageHead starts the reference page.
const pageHead = `# Settings

Each daemon reads one TOML file with the keys of its role, which is named in parentheses after each
section. Unknown keys, wrong types, values out of range and contradictions are reported together,
and the program exits with code 2. Samples are in ` + "`custom/`" + `. This page is generated from
package setting; ` + "`go test ./setting -run TestPage -update`" + ` writes it again.
`

// section is a part of the settings of one or more roles.
type section struct {
	title string
	kind  reflect.Type
	roles []string
}

// Page returns the reference page of all settings in Markdown.
func Page() string {
	var page strings.Builder
	page.WriteString(pageHead)
	for _, section := range sections() {
		fmt.Fprintf(&page, "\n## %s (%s)\n\n| Key | Type | Default | Range | Meaning |\n| --- | --- | --- | --- | --- |\n",
			section.title, strings.Join(section.roles, ", "))
		for index := range section.kind.NumField() {
			field := section.kind.Field(index)
			fmt.Fprintf(&page, "| `%s` | %s | %s | %s | %s |\n",
				field.Name, typeText(field), defaultText(field), rangeText(field), field.Tag.Get("doc"))
		}
	}
	return page.String()
}

// sections returns the sections of all roles; one with the same type in several roles is listed
// once.
func sections() []section {
	var found []section
	for _, role := range []struct {
		name string
		root reflect.Type
	}{
		{"entry", reflect.TypeFor[Entry]()},
		{"agent", reflect.TypeFor[Agent]()},
		{"stand-in", reflect.TypeFor[StandIn]()},
	} {
		for index := range role.root.NumField() {
			found = addSection(found, role.name, role.root.Field(index))
		}
	}
	return found
}

func addSection(found []section, role string, field reflect.StructField) []section {
	title, kind := "`["+field.Name+"]`", field.Type
	if kind.Kind() == reflect.Slice {
		title, kind = "`[["+field.Name+"]]`, any number", kind.Elem()
	}
	for index := range found {
		if found[index].kind == kind {
			found[index].roles = append(found[index].roles, role)
			return found
		}
	}
	return append(found, section{title: title, kind: kind, roles: []string{role}})
}

func typeText(field reflect.StructField) string {
	names := map[string]string{
		kindName: "name", kindAddress: "IP address and port", kindURL: "URL", kindFile: "file", kindLevel: "level",
	}
	kind := field.Type.Kind()
	switch {
	case kind == reflect.Slice:
		return "array of: " + names[field.Tag.Get("kind")]
	case kind == reflect.String:
		return names[field.Tag.Get("kind")]
	case kind == reflect.Float64:
		return "number"
	case kind == reflect.Bool:
		return "true or false"
	case strings.HasSuffix(field.Name, "Millis"):
		return "whole number, ms"
	default:
		return "whole number"
	}
}

func defaultText(field reflect.StructField) string {
	if text, ok := field.Tag.Lookup("default"); ok {
		return "`" + text + "`"
	}
	if isOptional(field) {
		return "none"
	}
	return "required"
}

func rangeText(field reflect.StructField) string {
	low, high := field.Tag.Get("min"), field.Tag.Get("max")
	if low == "" && high == "" {
		return ""
	}
	return low + " to " + high
}
