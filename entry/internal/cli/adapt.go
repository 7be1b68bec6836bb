package cli

import (
	"time"

	"bulrushspoke/entry/internal/dispatch"
	"bulrushspoke/entry/internal/trainer"
	"bulrushspoke/internal/meter"
	"bulrushspoke/wire"
)

// peerHandler serves the messages of other entries.
type peerHandler struct {
	*trainer.Trainer
	dispatcher *dispatch.Dispatcher
}

// Suspect implements peer.Handler.
func (h peerHandler) Suspect(s wire.Suspect) { h.dispatcher.Suspect(s) }

// stepMeter exports the measurements of steps.
type stepMeter struct {
	age  *meter.Histogram
	wait *meter.Histogram
}

// trainClass is the class label of all measurements of steps.
const trainClass = "train"

func newStepMeter(m *meter.Meter) stepMeter {
	return stepMeter{
		age:  m.Histogram("sample_age", "{version}", "Age of answered samples in weight versions."),
		wait: m.Histogram("trainer_wait", "s", "Time that a pull waited with nothing to give."),
	}
}

// SampleAge implements trainer.Meter.
func (s stepMeter) SampleAge(tenant string, age int64) {
	s.age.Record(tenant, trainClass, float64(age))
}

// TrainerWait implements trainer.Meter.
func (s stepMeter) TrainerWait(tenant string, wait time.Duration) {
	s.wait.Record(tenant, trainClass, wait.Seconds())
}
