// Package strictjson decodes JSON with comments into structs and reports all
// problems at once, each with its line, its field and the accepted values. Unknown
// and duplicate fields are errors. Packages settings and preset use it. It does no
// I/O.
package strictjson

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/tailscale/hujson"
)

// Problem is an error in a document.
type Problem struct {
	// Line counts from 1.
	Line int
	// Field is a path such as "services[0].slots". It is empty for the document as a
	// whole.
	Field string
	Text  string
}

// String returns "line N: field: text".
func (p Problem) String() string {
	return fmt.Sprintf("line %d: %s", p.Line, p.Message())
}

// Message returns "field: text" on one line. Line breaks are escaped, because field
// names and messages of the parser can contain text of the document.
func (p Problem) Message() string {
	message := p.Text
	if p.Field != "" {
		message = p.Field + ": " + p.Text
	}
	return strings.ReplaceAll(message, "\n", `\n`)
}

// Defaulter is implemented by types of map entries that have defaults. SetDefaults
// is called on an entry that a document adds, before it is decoded.
type Defaulter interface {
	SetDefaults()
}

// Document holds the line of each field of a decoded document and the problems
// found.
type Document struct {
	// lineBreaks holds the offsets of the line breaks.
	lineBreaks []int
	lines      map[string]int
	problems   []Problem
}

// Decode decodes a document into the struct that target points to. Fields that the
// document omits keep their values, also in entries of maps. Field names are case
// sensitive, and a field may be set only once.
func Decode(text []byte, target any) (*Document, []Problem) {
	// Some editors write a byte order mark at the start of a file.
	text = bytes.TrimPrefix(text, []byte("\xef\xbb\xbf"))
	d := &Document{lines: make(map[string]int)}
	for i, c := range text {
		if c == '\n' {
			d.lineBreaks = append(d.lineBreaks, i)
		}
	}
	if offset, ok := findExcessDepth(text); ok {
		return d, []Problem{{Line: d.lineAt(offset), Text: fmt.Sprintf("is nested deeper than %d levels", maxDepth)}}
	}
	root, err := hujson.Parse(text)
	if err != nil {
		return d, []Problem{syntaxProblem(err)}
	}
	d.decode("", &root, reflect.ValueOf(target).Elem())
	return d, d.problems
}

// Line returns the line of a field or, if the document does not contain it, of the
// nearest enclosing value.
func (d *Document) Line(field string) int {
	for field != "" {
		if line, ok := d.lines[field]; ok {
			return line
		}
		field = field[:max(0, strings.LastIndexAny(field, ".["))]
	}
	return max(1, d.lines[""])
}

var syntaxPosition = regexp.MustCompile(`line (\d+), column \d+: `)

// syntaxProblem moves the line from the message of the parser to Problem.Line.
func syntaxProblem(err error) Problem {
	text := strings.TrimPrefix(err.Error(), "hujson: ")
	line := 1
	if found := syntaxPosition.FindStringSubmatch(text); found != nil {
		line, _ = strconv.Atoi(found[1])
		text = strings.Replace(text, found[0], "", 1)
	}
	return Problem{Line: line, Text: text}
}

func (d *Document) report(field string, at *hujson.Value, format string, args ...any) {
	d.problems = append(d.problems, Problem{Line: d.lineAt(at.StartOffset), Field: field, Text: fmt.Sprintf(format, args...)})
}

func (d *Document) lineAt(offset int) int {
	before, _ := slices.BinarySearch(d.lineBreaks, offset)
	return 1 + before
}

func (d *Document) decode(field string, value *hujson.Value, target reflect.Value) {
	d.lines[field] = d.lineAt(value.StartOffset)
	switch target.Kind() {
	case reflect.Pointer:
		if target.IsNil() {
			target.Set(reflect.New(target.Type().Elem()))
		}
		d.decode(field, value, target.Elem())
	case reflect.Struct:
		d.decodeStruct(field, value, target)
	case reflect.Map:
		d.decodeMap(field, value, target)
	case reflect.Slice:
		d.decodeSlice(field, value, target)
	default:
		d.decodeScalar(field, value, target)
	}
}

func (d *Document) decodeStruct(field string, value *hujson.Value, target reflect.Value) {
	d.forEachMember(field, value, func(name string, path string, member *hujson.ObjectMember) {
		names, indexes := fieldNames(target.Type())
		memberIndex := slices.Index(names, name)
		if memberIndex < 0 {
			d.report(path, &member.Name, "unknown field; accepted are %s", strings.Join(names, ", "))
			return
		}
		d.decode(path, &member.Value, target.Field(indexes[memberIndex]))
	})
}

// fieldNames returns the JSON names of the fields of a struct in their order, with
// their indexes. Fields with the tag "-" are omitted.
func fieldNames(t reflect.Type) (names []string, indexes []int) {
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		if name == "-" {
			continue
		}
		names = append(names, name)
		indexes = append(indexes, i)
	}
	return names, indexes
}

// decodeMap decodes an object into a map. An entry that exists already keeps the
// fields that the document omits.
func (d *Document) decodeMap(field string, value *hujson.Value, target reflect.Value) {
	if target.IsNil() {
		target.Set(reflect.MakeMap(target.Type()))
	}
	d.forEachMember(field, value, func(name string, path string, member *hujson.ObjectMember) {
		key := reflect.ValueOf(name).Convert(target.Type().Key())
		entry := reflect.New(target.Type().Elem())
		existing := target.MapIndex(key)
		if existing.IsValid() {
			entry.Elem().Set(existing)
		} else if defaulter, ok := entry.Interface().(Defaulter); ok {
			defaulter.SetDefaults()
		}
		d.decode(path, &member.Value, entry.Elem())
		target.SetMapIndex(key, entry.Elem())
	})
}

func (d *Document) forEachMember(field string, value *hujson.Value, visit func(name, path string, member *hujson.ObjectMember)) {
	object, ok := value.Value.(*hujson.Object)
	if !ok {
		d.report(field, value, "must be an object {…}")
		return
	}
	seen := make(map[string]bool)
	for i := range object.Members {
		member := &object.Members[i]
		name := member.Name.Value.(hujson.Literal).String()
		path := name
		if field != "" {
			path = field + "." + name
		}
		if seen[name] {
			d.report(path, &member.Name, "is set twice")
			continue
		}
		seen[name] = true
		visit(name, path, member)
	}
}

func (d *Document) decodeSlice(field string, value *hujson.Value, target reflect.Value) {
	array, ok := value.Value.(*hujson.Array)
	if !ok {
		d.report(field, value, "must be a list […]")
		return
	}
	target.Set(reflect.MakeSlice(target.Type(), len(array.Elements), len(array.Elements)))
	for i := range array.Elements {
		d.decode(fmt.Sprintf("%s[%d]", field, i), &array.Elements[i], target.Index(i))
	}
}

var kindNames = map[reflect.Kind]string{
	reflect.String:  "a string in quotes",
	reflect.Bool:    "true or false",
	reflect.Int:     "a whole number",
	reflect.Int64:   "a whole number",
	reflect.Uint64:  "a whole number of at least 0",
	reflect.Float64: "a number",
}

func (d *Document) decodeScalar(field string, value *hujson.Value, target reflect.Value) {
	literal, ok := value.Value.(hujson.Literal)
	err := errors.New("not a literal")
	if ok && literal.Kind() != 'n' {
		err = json.Unmarshal(literal, target.Addr().Interface())
	}
	if err != nil {
		d.report(field, value, "must be %s", kindNames[target.Kind()])
	}
}
