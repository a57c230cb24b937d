package preset

// Default values of a preset. A document needs to set only the fields that differ.
const (
	defaultQueueFactor  = 4
	defaultQueueMillis  = 100
	defaultProbePercent = 1.0
	defaultLinkPercent  = 0.5
	defaultLoadPercent  = 90
	hourMillis          = 3_600_000
)

// Default returns a preset with all defaults.
func Default(name string, kind Kind) *Preset {
	return &Preset{
		Name: name,
		Kind: kind,
		Classes: map[Class]Limits{
			ClassFetch:   {TimeoutMillis: 5_000, IdleMillis: 30_000, MaxBodyBytes: 1 << 20, RetryPercent: 10, HedgePercent: 2},
			ClassBooking: {TimeoutMillis: 10_000, IdleMillis: 30_000, MaxBodyBytes: 1 << 20, RetryPercent: 10},
			ClassUpload:  {TimeoutMillis: 4 * hourMillis, IdleMillis: 120_000, MaxBodyBytes: 8 << 30, RetryPercent: 5},
		},
		Services: map[string]Tuning{},
		Measuring: Measuring{
			ProbePercent: defaultProbePercent,
			LinkPercent:  defaultLinkPercent,
		},
		SpillOver: SpillOver{Enabled: true, LoadPercent: defaultLoadPercent},
	}
}

// DefaultTuning returns the tuning of a service that a preset does not list.
func DefaultTuning() Tuning {
	return Tuning{Policy: PolicyHotCold, QueueFactor: defaultQueueFactor, QueueMillis: defaultQueueMillis}
}

// SetDefaults implements strictjson.Defaulter, so that an entry of "services" has
// the defaults for the fields that it omits.
func (t *Tuning) SetDefaults() {
	*t = DefaultTuning()
}

// Limits returns the limits of a class.
func (p *Preset) Limits(class Class) Limits {
	return p.Classes[class]
}

// Tuning returns the tuning of a service, with defaults for the fields that are
// not set.
func (p *Preset) Tuning(service string) Tuning {
	tuning := p.Services[service]
	defaults := DefaultTuning()
	if tuning.Policy == "" {
		tuning.Policy = defaults.Policy
	}
	if tuning.QueueFactor == 0 {
		tuning.QueueFactor = defaults.QueueFactor
	}
	if tuning.QueueMillis == 0 {
		tuning.QueueMillis = defaults.QueueMillis
	}
	return tuning
}
