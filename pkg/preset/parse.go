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

// MaxDocumentBytes bounds a preset document, so that one fits in a peer message.
const MaxDocumentBytes = 128 << 10

// ErrInvalid is wrapped by all errors of Parse.
var ErrInvalid = eris.New("invalid preset")

// Parse reads a preset from JSON with comments, fills in defaults and checks it.
// Fields that the document leaves out keep their defaults, also within the entry
// of a class or a service. The error joins all problems found, each with its
// line, its field and what is accepted.
func Parse(document []byte) (*Preset, error) {
	if len(document) > MaxDocumentBytes {
		return nil, eris.Wrapf(ErrInvalid, "document has %d bytes; the limit is %d", len(document), MaxDocumentBytes)
	}
	p := Default("", "")
	decoded, problems := strictjson.Decode(document, p)
	// A field that could not be decoded is not checked as well: its value is not
	// the operator's.
	undecoded := make(map[string]bool)
	for _, problem := range problems {
		undecoded[problem.Field] = true
	}
	if !undecoded[""] {
		for _, found := range p.problems() {
			if !undecoded[found.Field] {
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

// Validate checks the values and joins all problems found.
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

// Policies returns all known policies.
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
