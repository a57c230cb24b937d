package preset

// Default values of a preset. A document only has to name what differs.
const (
	defaultQueueFactor  = 4
	defaultQueueMillis  = 100
	defaultProbePercent = 1.0
	defaultLinkPercent  = 0.5
	defaultLoadPercent  = 90
	hourMillis          = 3_600_000
)

// Default returns a preset with all defaults filled in.
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

// DefaultTuning returns the tuning of a service that a preset does not name.
func DefaultTuning() Tuning {
	return Tuning{Policy: PolicyHotCold, QueueFactor: defaultQueueFactor, QueueMillis: defaultQueueMillis}
}

// SetDefaults implements strictjson.Defaulter: an entry of "services" keeps the
// defaults of the fields that it leaves out.
func (t *Tuning) SetDefaults() {
	*t = DefaultTuning()
}

// Limits returns the limits of a class.
func (p *Preset) Limits(class Class) Limits {
	return p.Classes[class]
}

// Tuning returns the tuning of a service with defaults filled in.
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
