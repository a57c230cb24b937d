package preset

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/tailscale/hujson"
)

// Diff lists the fields that differ between two documents, one line each, as
// "path: old -> new". A document that is empty or cannot be parsed is treated as
// one without fields.
func Diff(before, after []byte) []string {
	old, updated := flatten(before), flatten(after)
	paths := make(map[string]bool)
	for path := range old {
		paths[path] = true
	}
	for path := range updated {
		paths[path] = true
	}
	var lines []string
	for path := range paths {
		if old[path] != updated[path] {
			lines = append(lines, fmt.Sprintf("%s: %s -> %s", path, orNone(old[path]), orNone(updated[path])))
		}
	}
	slices.Sort(lines)
	return lines
}

func orNone(value string) string {
	if value == "" {
		return "(none)"
	}
	return value
}

// flatten maps the path of each leaf of a JSON document to its JSON text.
func flatten(document []byte) map[string]string {
	leaves := make(map[string]string)
	standard, err := hujson.Standardize(bytes.Clone(document))
	if err != nil {
		return leaves
	}
	var value any
	err = json.Unmarshal(standard, &value)
	if err != nil {
		return leaves
	}
	collectLeaves("", value, leaves)
	return leaves
}

func collectLeaves(path string, value any, leaves map[string]string) {
	switch v := value.(type) {
	case map[string]any:
		for name, child := range v {
			collectLeaves(join(path, name), child, leaves)
		}
	case []any:
		for i, child := range v {
			collectLeaves(fmt.Sprintf("%s[%d]", path, i), child, leaves)
		}
	default:
		text, err := json.Marshal(v)
		if err != nil {
			return
		}
		leaves[path] = string(text)
	}
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
