package settings

import (
	"cmp"
	"errors"
	"fmt"
	"os"
	"slices"

	"github.com/rotisserie/eris"

	"balsamhill/pkg/strictjson"
)

// ErrInvalid is wrapped by all errors of Load and Parse.
var ErrInvalid = eris.New("invalid settings")

// Load reads and validates a settings file. The error joins all problems found,
// each with the file name and the line.
func Load(path string) (*Settings, error) {
	document, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrapf(ErrInvalid, "%v", err)
	}
	return Parse(path, document)
}

// Parse decodes and validates a settings document. name identifies it in errors.
func Parse(name string, document []byte) (*Settings, error) {
	s := defaults()
	decoded, problems := strictjson.Decode(document, s)
	// A field that could not be decoded is not validated: it holds its default, not
	// the value in the document.
	failedFields := make(map[string]bool)
	for _, problem := range problems {
		failedFields[problem.Field] = true
	}
	if !failedFields[""] {
		for _, found := range s.validate() {
			if !failedFields[found.field] {
				problems = append(problems, strictjson.Problem{Line: decoded.Line(found.field), Field: found.field, Text: found.text})
			}
		}
	}
	slices.SortStableFunc(problems, func(a, b strictjson.Problem) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Field, b.Field))
	})
	errs := make([]error, 0, len(problems))
	for _, problem := range problems {
		errs = append(errs, fmt.Errorf("%w: %s:%d: %s", ErrInvalid, name, problem.Line, problem.Message()))
	}
	if len(errs) > 0 {
		return nil, errors.Join(errs...)
	}
	return s, nil
}
