package docs

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
)

var (
	metricName       = regexp.MustCompile(`^hyssopjunction_[a-z_]+`)
	documentedMetric = regexp.MustCompile("(?m)^\\| `(hyssopjunction_[a-z_]+)` \\|")
)

// registeredMetrics returns the names of all metrics in string literals of the module, without its tests.
func registeredMetrics(t *testing.T) []string {
	t.Helper()
	names := map[string]bool{}
	err := filepath.WalkDir("..", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		ast.Inspect(file, func(node ast.Node) bool {
			if literal, ok := node.(*ast.BasicLit); ok && literal.Kind == token.STRING {
				if text, err := strconv.Unquote(literal.Value); err == nil {
					if name := metricName.FindString(text); name != "" {
						names[name] = true
					}
				}
			}
			return true
		})
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return sortedNames(names)
}

// sortedNames returns the names in ascending order.
func sortedNames(names map[string]bool) []string {
	var list []string
	for name := range names {
		list = append(list, name)
	}
	slices.Sort(list)
	return list
}

// TestMetricsPage guards against a metric that is missing from the page for operators, and against a metric
// or an alert on the page for which no metric exists in the source.
func TestMetricsPage(t *testing.T) {
	text, err := os.ReadFile("metrics.md")
	if err != nil {
		t.Fatal(err)
	}
	documented := map[string]bool{}
	for _, match := range documentedMetric.FindAllStringSubmatch(string(text), -1) {
		documented[match[1]] = true
	}
	registered := registeredMetrics(t)
	if len(registered) == 0 {
		t.Fatal("no metric found in the source")
	}
	for _, name := range registered {
		if !documented[name] {
			t.Errorf("metric %s is not on the page", name)
		}
	}
	for _, name := range sortedNames(documented) {
		if !slices.Contains(registered, name) {
			t.Errorf("page lists %s, which the source does not register", name)
		}
	}
	_, alerts, _ := strings.Cut(string(text), "## Alerts")
	for _, name := range regexp.MustCompile(`hyssopjunction_[a-z_]+`).FindAllString(alerts, -1) {
		if !slices.Contains(registered, name) {
			t.Errorf("alert on %s, which the source does not register", name)
		}
	}
}
