package preset

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/rotisserie/eris"

	"balsamhill/pkg/strictjson"
)

// MaxDocumentBytes bounds a preset document, so that it fits into one message
// between peers.
const MaxDocumentBytes = 128 << 10

// ErrInvalid is wrapped by all errors of Parse, SplitBase and Validate.
var ErrInvalid = eris.New("invalid preset")

// Parse decodes a preset from JSON with comments and validates it. Fields that the
// document omits have their defaults, also within the entry of a class or a
// service. The error joins all problems found, each with its line, its field and
// the accepted values.
func Parse(document []byte) (*Preset, error) {
	if len(document) > MaxDocumentBytes {
		return nil, eris.Wrapf(ErrInvalid, "document has %d bytes; the limit is %d", len(document), MaxDocumentBytes)
	}
	p := Default("", "")
	decoded, problems := strictjson.Decode(document, p)
	// A field that could not be decoded is not validated: it holds its default, not
	// the value in the document.
	failedFields := make(map[string]bool)
	for _, problem := range problems {
		failedFields[problem.Field] = true
	}
	if !failedFields[""] {
		for _, found := range p.problems() {
			if !failedFields[found.Field] {
				found.Line = decoded.Line(found.Field)
				problems = append(problems, found)
			}
		}
	}
	slices.SortStableFunc(problems, func(a, b strictjson.Problem) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Field, b.Field))
	})
	if len(problems) > 0 {
		return nil, joinProblems(problems, strictjson.Problem.String)
	}
	return p, nil
}

// Validate checks the values and returns an error that joins all problems found.
func (p *Preset) Validate() error {
	return joinProblems(p.problems(), strictjson.Problem.Message)
}

func joinProblems(problems []strictjson.Problem, text func(strictjson.Problem) string) error {
	errs := make([]error, 0, len(problems))
	for _, problem := range problems {
		errs = append(errs, fmt.Errorf("%w: %s", ErrInvalid, text(problem)))
	}
	return errors.Join(errs...)
}

// Policies returns the policies that a preset document may name.
func Policies() []Policy {
	return []Policy{
		PolicyRandom, PolicyRoundRobin, PolicyLeastInFlight,
		PolicyPowerOfTwo, PolicyWeightedLoad, PolicyHotCold,
	}
}

func joinPolicies() string {
	names := make([]string, 0, len(Policies()))
	for _, policy := range Policies() {
		names = append(names, string(policy))
	}
	return strings.Join(names, ", ")
}
