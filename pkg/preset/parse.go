package preset

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"regexp"
	"slices"
	"strings"

	"github.com/rotisserie/eris"
	"github.com/tailscale/hujson"
)

// MaxDocumentBytes bounds a preset document, so that one fits in a peer message.
const MaxDocumentBytes = 128 << 10

// ErrInvalid is wrapped by all errors of Parse.
var ErrInvalid = eris.New("invalid preset")

var namePattern = regexp.MustCompile(`^[a-z][a-z0-9-]{0,62}$`)

// Parse reads a preset from JSON with comments, fills in defaults and checks it.
// The error joins all problems found.
func Parse(document []byte) (*Preset, error) {
	if len(document) > MaxDocumentBytes {
		return nil, eris.Wrapf(ErrInvalid, "document has %d bytes; the limit is %d", len(document), MaxDocumentBytes)
	}
	standard, err := hujson.Standardize(bytes.Clone(document))
	if err != nil {
		return nil, eris.Wrapf(ErrInvalid, "%v", err)
	}
	var head struct {
		Name string `json:"name"`
		Kind Kind   `json:"kind"`
	}
	err = json.Unmarshal(standard, &head)
	if err != nil {
		return nil, eris.Wrapf(ErrInvalid, "%v", err)
	}
	p := Default(head.Name, head.Kind)
	decoder := json.NewDecoder(bytes.NewReader(standard))
	decoder.DisallowUnknownFields()
	err = decoder.Decode(p)
	if err != nil {
		return nil, eris.Wrapf(ErrInvalid, "%v", err)
	}
	err = p.Validate()
	if err != nil {
		return nil, err
	}
	return p, nil
}

// Validate checks the values and joins all problems found.
func (p *Preset) Validate() error {
	var problems []error
	report := func(field, format string, args ...any) {
		problems = append(problems, fmt.Errorf("%w: %s: %s", ErrInvalid, field, fmt.Sprintf(format, args...)))
	}
	if !namePattern.MatchString(p.Name) {
		report("name", "%q must be lower-case letters, digits and hyphens, at most 63", p.Name)
	}
	kinds := []Kind{KindOrdinary, KindPeak, KindMaintenance}
	if !slices.Contains(kinds, p.Kind) {
		report("kind", "%q is not one of ordinary, peak, maintenance", p.Kind)
	}
	for class, limits := range p.Classes {
		validateLimits(class, limits, report)
	}
	for name, tuning := range p.Services {
		validateTuning(name, tuning, report)
	}
	percent := func(field string, value, highest float64) {
		if value < 0 || value > highest {
			report(field, "%g is not between 0 and %g", value, highest)
		}
	}
	percent("measuring.probePercent", p.Measuring.ProbePercent, 5)
	percent("measuring.linkPercent", p.Measuring.LinkPercent, 5)
	percent("spillOver.loadPercent", p.SpillOver.LoadPercent, 100)
	return errors.Join(problems...)
}

type reportFunc func(field, format string, args ...any)

func validateLimits(class Class, limits Limits, report reportFunc) {
	field := "classes." + string(class)
	if !slices.Contains([]Class{ClassFetch, ClassBooking, ClassUpload}, class) {
		report(field, "is not one of fetch, booking, upload")
	}
	if limits.TimeoutMillis < 0 || limits.IdleMillis < 0 || limits.MaxBodyBytes < 0 {
		report(field, "limits must not be negative")
	}
	if limits.RetryPercent < 0 || limits.RetryPercent > 20 {
		report(field+".retryPercent", "%g is not between 0 and 20", limits.RetryPercent)
	}
	if limits.HedgePercent < 0 || limits.HedgePercent > 5 {
		report(field+".hedgePercent", "%g is not between 0 and 5", limits.HedgePercent)
	}
	if class != ClassFetch && limits.HedgePercent > 0 {
		report(field+".hedgePercent", "only the class fetch may be hedged")
	}
}

func validateTuning(service string, tuning Tuning, report reportFunc) {
	field := "services." + service
	if tuning.Policy != "" && !slices.Contains(Policies(), tuning.Policy) {
		report(field+".policy", "%q is not one of %s", tuning.Policy, joinPolicies())
	}
	if tuning.QueueFactor < 0 || tuning.QueueFactor > 100 {
		report(field+".queueFactor", "%g is not between 0 and 100", tuning.QueueFactor)
	}
	if tuning.QueueMillis < 0 || tuning.QueueMillis > 60_000 {
		report(field+".queueMillis", "%d is not between 0 and 60000", tuning.QueueMillis)
	}
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
