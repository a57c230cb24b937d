// Package strictjson decodes JSON with comments into structs and reports all
// problems at once, each with its line, its field and what is accepted there.
// It does no I/O.
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

// Problem is one finding in a document.
type Problem struct {
	// Line counts from 1.
	Line int
	// Field is a path such as "services[0].slots"; it is empty for the document itself.
	Field string
	Text  string
}

// String returns "line N: field: text".
func (p Problem) String() string {
	return fmt.Sprintf("line %d: %s", p.Line, p.Message())
}

// Message returns "field: text" as one line. Field names and the parser's
// messages can contain line breaks of the document.
func (p Problem) Message() string {
	message := p.Text
	if p.Field != "" {
		message = p.Field + ": " + p.Text
	}
	return strings.ReplaceAll(message, "\n", `\n`)
}

// Defaulter is implemented by types whose value has defaults where a document
// adds it to a map.
type Defaulter interface {
	SetDefaults()
}

// Document is a decoded document. It remembers the line of each field.
type Document struct {
	// lineBreaks holds the offsets of the line breaks.
	lineBreaks []int
	lines      map[string]int
	problems   []Problem
}

// Decode reads a document into the struct that target points to. Fields that the
// document leaves out keep their values, also within entries of maps. Field names
// must match exactly, each at most once.
func Decode(text []byte, target any) (*Document, []Problem) {
	// Some editors put a byte order mark in front.
	text = bytes.TrimPrefix(text, []byte("\xef\xbb\xbf"))
	d := &Document{lines: make(map[string]int)}
	for i, c := range text {
		if c == '\n' {
			d.lineBreaks = append(d.lineBreaks, i)
		}
	}
	if offset, ok := exceedsMaxDepth(text); ok {
		return d, []Problem{{Line: d.lineAt(offset), Text: fmt.Sprintf("is nested deeper than %d levels", maxDepth)}}
	}
	root, err := hujson.Parse(text)
	if err != nil {
		return d, []Problem{syntaxProblem(err)}
	}
	d.decode("", &root, reflect.ValueOf(target).Elem())
	return d, d.problems
}

// Line returns the line of a field, or of the nearest enclosing value that the
// document holds.
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

// syntaxProblem takes the line out of the parser's message.
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

// fieldNames returns the JSON names of a struct's fields in their order, with
// their indexes. Fields that are not part of documents are left out.
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

// decodeMap lets an entry that exists already keep the fields that the document
// leaves out.
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
	reflect.String:  "a text in quotes",
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
