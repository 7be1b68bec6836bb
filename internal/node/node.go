// Package node holds what a process is told about its instance and deployment.
//
// # Usage
//
//	s := node.Settings{Name: "entry-1", Domain: "coastal-a", …}
//	if err := s.Validate(); err != nil { … }
//
// The adapter of a deployment fills the type from the deployment's own settings file.
package node

import (
	"fmt"
	"time"
)

// Settings describe one process, its instance and the limits it works under.
type Settings struct {
	Name   string // of the instance
	Role   string // of the process
	Domain string // failure domain
	Region string
	IP     string

	Regions map[string]string // region of each failure domain

	Ingress   string // address for client connections; empty if the instance takes none
	Readiness string // address that the load balancer probes
	Ports     Ports  // for traffic between our processes

	Engine  string // address of the upstream on this instance; empty if there is none
	Service string // service that Engine belongs to

	Store Store

	Cores       float64 // processor time in cores; 0 if it is not told
	Memory      int64   // bytes that the process may use
	Link        float64 // of the instance, in bytes a second; 0 if it is not told
	Descriptors int
	Beat        time.Duration // how often servers renew their entry in the store
	Bounds      Bounds
}

// Ports is an inclusive range of ports.
type Ports struct {
	First, Last int
}

// Store describes the platform's object store.
type Store struct {
	Address string
	Value   int           // largest value in bytes
	History time.Duration // how far back a watch may start
}

// Bounds are the times that the deployment promises or demands.
type Bounds struct {
	Grace  time.Duration // between SIGTERM and SIGKILL
	Status time.Duration // results stay readable this long after a job was submitted
	Config time.Duration // a configuration is in force everywhere so long after it was written
	Drain  time.Duration // a leaving server gets no request later than this after it announced it
	Reuse  time.Duration // an address may belong to another server this long after its server ended
}

// Error tells which setting cannot be used.
type Error struct {
	field string
	cause string
}

// NewError returns an Error for a field.
func NewError(field, cause string) *Error { return &Error{field: field, cause: cause} }

// Field returns the name of the setting.
func (e *Error) Field() string { return e.field }

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("node: %s: %s", e.field, e.cause) }

// Validate checks that the settings are complete.
func (s Settings) Validate() error {
	for _, f := range []struct{ name, value string }{
		{"name", s.Name}, {"domain", s.Domain}, {"region", s.Region}, {"ip", s.IP}, {"store address", s.Store.Address},
	} {
		if f.value == "" {
			return NewError(f.name, "is missing")
		}
	}
	if s.Memory <= 0 {
		return NewError("memory", "must be positive")
	}
	if s.Ports.First <= 0 || s.Ports.Last < s.Ports.First {
		return NewError("ports", fmt.Sprintf("%d to %d is no range", s.Ports.First, s.Ports.Last))
	}
	if s.Store.Value <= 0 {
		return NewError("store value", "must be positive")
	}
	return nil
}
