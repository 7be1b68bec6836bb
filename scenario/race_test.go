//go:build race

package scenario_test

func init() { raceEnabled = true }
