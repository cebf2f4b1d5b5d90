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

// section is a section of the settings with the roles that have it.
type section struct {
	title      string
	structType reflect.Type
	roles      []string
}

// Page returns the reference page of all settings in Markdown.
func Page() string {
	var page strings.Builder
	page.WriteString(pageHead)
	for _, section := range sections() {
		fmt.Fprintf(&page, "\n## %s (%s)\n\n| Key | Type | Default | Range | Meaning |\n| --- | --- | --- | --- | --- |\n",
			section.title, strings.Join(section.roles, ", "))
		for index := range section.structType.NumField() {
			field := section.structType.Field(index)
			fmt.Fprintf(&page, "| `%s` | %s | %s | %s | %s |\n",
				field.Name, typeText(field), defaultText(field), rangeText(field), field.Tag.Get("doc"))
		}
	}
	return page.String()
}

// sections returns the sections of all roles. A section that several roles have with the same type is
// listed once.
func sections() []section {
	var list []section
	for _, role := range []struct {
		name string
		root reflect.Type
	}{
		{"entry", reflect.TypeFor[Entry]()},
		{"agent", reflect.TypeFor[Agent]()},
		{"stand-in", reflect.TypeFor[StandIn]()},
	} {
		for index := range role.root.NumField() {
			list = addSection(list, role.name, role.root.Field(index))
		}
	}
	return list
}

// addSection adds a role's section to the list, or the role to the section of the same type.
func addSection(list []section, role string, field reflect.StructField) []section {
	title, structType := "`["+field.Name+"]`", field.Type
	if structType.Kind() == reflect.Slice {
		title, structType = "`[["+field.Name+"]]`, any number", structType.Elem()
	}
	for index := range list {
		if list[index].structType == structType {
			list[index].roles = append(list[index].roles, role)
			return list
		}
	}
	return append(list, section{title: title, structType: structType, roles: []string{role}})
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
