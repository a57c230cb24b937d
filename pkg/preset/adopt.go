package preset

// Adopter holds the version of the preset that is in force on one VM. Its revision
// never decreases. It is not safe for concurrent use; the control loop owns it.
type Adopter struct {
	current Version
}

// Current returns the version in force. Its Preset is nil until one was adopted.
func (a *Adopter) Current() Version {
	return a.current
}

// AdoptIfNewer adopts the version if its revision is higher than the one in force.
// It reports whether the version was adopted.
func (a *Adopter) AdoptIfNewer(v Version) bool {
	if v.Preset == nil || v.Revision <= a.current.Revision {
		return false
	}
	a.current = v
	return true
}
