package batch

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"strings"

	"bulrushspoke/entry/internal/ingress"
	"bulrushspoke/internal/workspace"
	"bulrushspoke/wire"
)

// Scoped ids have one of these forms:
//
//	ID                 a job without a workspace
//	ws.NAME.ID         a job of a workspace
//	ws..ID             a job without a workspace whose id begins with "ws."
//	ws...HASH          a job of a workspace, if the second form is too long
//
// NAME and ID are escaped where they follow the prefix, so that they contain no separator. A name is not empty. No form
// with the prefix is the name of a part of another job's payload. Common names and ids need no escape, and the separator is
// a character that stores commonly allow in names.
const (
	scopeSeparator = "."
	scopePrefix    = "ws" + scopeSeparator
	// maxScopedID is the length in bytes beyond which a scoped id of a workspace is replaced by its hash. It leaves room for
	// the prefix of the kind of a log within the 255 bytes that stores commonly allow for a name.
	maxScopedID = 200
)

// scopedID returns the id by which the entries and the store know a job. Jobs of different workspaces have different ids,
// whatever names and ids contain, and the id of a job of a workspace is valid as a path segment. A job without a workspace
// has its plain id, like all jobs of versions without workspaces.
func scopedID(w workspace.Workspace, id string) string {
	switch {
	case w.None() && !strings.HasPrefix(id, scopePrefix):
		return id
	case w.None():
		// Escaping prevents a client without a workspace from addressing the job of a workspace.
		return scopePrefix + scopeSeparator + escape(id)
	}
	scoped := scopePrefix + escape(w.Name) + scopeSeparator + escape(id)
	if len(scoped) > maxScopedID {
		sum := sha256.Sum256([]byte(scoped))
		return scopePrefix + scopeSeparator + scopeSeparator + hex.EncodeToString(sum[:])
	}
	return scoped
}

// escape replaces all bytes but letters, digits and "-" by "_" and their hexadecimal code.
func escape(s string) string {
	var b strings.Builder
	for i := range len(s) {
		switch c := s[i]; {
		case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9', c == '-':
			b.WriteByte(c)
		default:
			fmt.Fprintf(&b, "_%02x", c)
		}
	}
	return b.String()
}

const (
	// causeNoJob is the cause of the reply to a call for a job that does not exist.
	causeNoJob = "job not found"
	// causeNoID is the cause of the reply to a submission without an id.
	causeNoID = "batch: the job has no id"
)

// forJob makes a call for the job of a workspace that clients know by the given id. If there is none, it makes the call for
// the job with this id that has no workspace: one that was accepted before the configuration named workspaces can be read
// and ended by the clients of every workspace, as it could be by everyone before.
func forJob(w workspace.Workspace, id string, call func(scoped string) ingress.Reply) ingress.Reply {
	reply := call(scopedID(w, id))
	if w.None() || reply.Status != http.StatusNotFound || reply.Cause != causeNoJob {
		return reply
	}
	return call(scopedID(workspace.Workspace{}, id))
}

// forReading makes a call that changes nothing, like forJob. While the store is down it cannot tell whether the workspace has
// a job of its own; if this entry knows only the one without a workspace, the client gets that one instead of an error.
func (m *Manager) forReading(w workspace.Workspace, id string, call func(scoped string) ingress.Reply) ingress.Reply {
	reply := forJob(w, id, call)
	plain := scopedID(workspace.Workspace{}, id)
	if w.None() || reply.Status != http.StatusServiceUnavailable || m.knows(scopedID(w, id)) || !m.knows(plain) {
		return reply
	}
	return call(plain)
}

// knows reports whether this entry has a job, or its state, in memory.
func (m *Manager) knows(id string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, cached := m.owners[id]
	return cached || m.jobs[id] != nil
}

// jobWorkspace returns the workspace that a job was accepted for.
func jobWorkspace(s wire.JobState) workspace.Workspace {
	w := workspace.Workspace{Name: s.Workspace}
	if s.Priority != nil {
		w.Priority, w.HasPriority = *s.Priority, true
	}
	return w
}

// setWorkspace stores the workspace of a job in its state.
func setWorkspace(s *wire.JobState, w workspace.Workspace) {
	s.Workspace, s.Priority = w.Name, nil
	if w.HasPriority {
		s.Priority = &w.Priority
	}
}
