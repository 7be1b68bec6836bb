package upstream

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// maxSentIDs bounds the ids that are kept of a connection. It is closed once it has carried as many requests.
const maxSentIDs = 512

// sentIDs holds hashes of the ids of the requests that were sent on a connection. The zero value is empty.
//
// A server may send an answer twice, and the copy may arrive where the answer to a later request on the connection is
// expected. The ids tell the two apart only if they differ. Two ids with the same hash cost a new connection.
type sentIDs struct {
	hashes []uint64
}

func (s *sentIDs) add(id string) {
	if id != "" {
		s.hashes = append(s.hashes, xxhash.Sum64String(id))
	}
}

func (s *sentIDs) contains(id string) bool {
	return id != "" && len(s.hashes) > 0 && slices.Contains(s.hashes, xxhash.Sum64String(id))
}

func (s *sentIDs) full() bool { return len(s.hashes) >= maxSentIDs }
