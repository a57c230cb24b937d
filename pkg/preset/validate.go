package preset

import (
	"fmt"
	"regexp"
	"slices"
	"strings"

	"balsamhill/pkg/strictjson"
)

// Bounds of the accepted values. Times are bounded so that they fit into a
// time.Duration.
const (
	maxClassMillis      = 24 * hourMillis
	maxBodyBytes        = 1 << 40
	maxRetryPercent     = 20.0
	maxHedgePercent     = 5.0
	minQueueFactor      = 0.1
	maxQueueFactor      = 100.0
	maxQueueMillis      = 60_000
	maxMeasuringPercent = 5.0
	maxLoadPercent      = 100.0
	maxDescriptionBytes = 500
)

var (
	presetNamePattern = regexp.MustCompile(`^[a-z][a-z0-9-]{0,62}$`)
	// servicePattern must match the same names as the one in package settings.
	servicePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]{0,62}$`)
	vmIDPattern    = regexp.MustCompile(`^[^\s]{1,128}$`)
)

// Classes returns all route classes.
func Classes() []Class {
	return []Class{ClassFetch, ClassBooking, ClassUpload}
}

type validator struct {
	problems []strictjson.Problem
}

func (v *validator) report(field, format string, args ...any) {
	v.problems = append(v.problems, strictjson.Problem{Field: field, Text: fmt.Sprintf(format, args...)})
}

func (v *validator) checkPercent(field string, value, maxValue float64) {
	if !(value >= 0 && value <= maxValue) {
		v.report(field, "%g is not between 0 and %g", value, maxValue)
	}
}

func (v *validator) checkInteger(field string, value, minValue, maxValue int64) {
	if value < minValue || value > maxValue {
		v.report(field, "%d is not between %d and %d", value, minValue, maxValue)
	}
}

// problems validates the values and returns the problems, sorted by field. Their
// line numbers are not set.
func (p *Preset) problems() []strictjson.Problem {
	v := &validator{}
	if !presetNamePattern.MatchString(p.Name) {
		v.report("name", "%q must be 1 to 63 lower-case letters, digits and hyphens and start with a letter", p.Name)
	}
	kinds := []Kind{KindOrdinary, KindPeak, KindMaintenance}
	if !slices.Contains(kinds, p.Kind) {
		v.report("kind", "%q is not one of ordinary, peak, maintenance", p.Kind)
	}
	if len(p.Description) > maxDescriptionBytes {
		v.report("description", "has %d bytes; the limit is %d", len(p.Description), maxDescriptionBytes)
	}
	for class, limits := range p.Classes {
		v.checkLimits(class, limits)
	}
	for name, tuning := range p.Services {
		v.checkTuning(name, tuning)
	}
	v.checkPercent("measuring.probePercent", p.Measuring.ProbePercent, maxMeasuringPercent)
	v.checkPercent("measuring.linkPercent", p.Measuring.LinkPercent, maxMeasuringPercent)
	v.checkPercent("spillOver.loadPercent", p.SpillOver.LoadPercent, maxLoadPercent)
	for i, id := range p.Maintenance {
		if !vmIDPattern.MatchString(id) {
			v.report(fmt.Sprintf("maintenance[%d]", i), "%q is not the ID of a VM (1 to 128 characters without spaces)", id)
		}
	}
	slices.SortFunc(v.problems, func(a, b strictjson.Problem) int { return strings.Compare(a.Field, b.Field) })
	return v.problems
}

func (v *validator) checkLimits(class Class, limits Limits) {
	field := "classes." + string(class)
	if !slices.Contains(Classes(), class) {
		v.report(field, "%q is not one of fetch, booking, upload", class)
		return
	}
	v.checkInteger(field+".timeoutMillis", limits.TimeoutMillis, 0, maxClassMillis)
	v.checkInteger(field+".idleMillis", limits.IdleMillis, 0, maxClassMillis)
	v.checkInteger(field+".maxBodyBytes", limits.MaxBodyBytes, 0, maxBodyBytes)
	v.checkPercent(field+".retryPercent", limits.RetryPercent, maxRetryPercent)
	v.checkPercent(field+".hedgePercent", limits.HedgePercent, maxHedgePercent)
	if class != ClassFetch && limits.HedgePercent > 0 {
		v.report(field+".hedgePercent", "%g is not 0; only the class fetch may be hedged", limits.HedgePercent)
	}
}

func (v *validator) checkTuning(service string, tuning Tuning) {
	field := "services." + service
	if !servicePattern.MatchString(service) {
		v.report(field, "%q is not the name of a service: 1 to 63 lower-case letters, digits, dots and hyphens", service)
	}
	if !slices.Contains(Policies(), tuning.Policy) {
		v.report(field+".policy", "%q is not one of %s", tuning.Policy, joinPolicies())
	}
	if !(tuning.QueueFactor >= minQueueFactor && tuning.QueueFactor <= maxQueueFactor) {
		v.report(field+".queueFactor", "%g is not between %g and %g", tuning.QueueFactor, minQueueFactor, maxQueueFactor)
	}
	v.checkInteger(field+".queueMillis", tuning.QueueMillis, 1, maxQueueMillis)
}
