package trainer

import (
	"time"

	"bulrushspoke/internal/meter"
)

// Meters records measurements of steps by workspace.
type Meters struct {
	age  *meter.Histogram
	wait *meter.Histogram
}

// NewMeters returns Meters with the histograms sample_age and trainer_wait.
func NewMeters(m *meter.Meter) *Meters {
	return &Meters{
		age:  m.Histogram("sample_age", "{version}", "Weight versions between an answered sample and its trainer."),
		wait: m.Histogram("trainer_wait", "s", "Time that a pull waited with nothing to give."),
	}
}

// SampleAge implements Meter.
func (m *Meters) SampleAge(workspace string, age int64) { m.age.Record(workspace, class, float64(age)) }

// TrainerWait implements Meter.
func (m *Meters) TrainerWait(workspace string, wait time.Duration) {
	m.wait.Record(workspace, class, wait.Seconds())
}
