package route

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
)

// Organisation is a group of callers with keys and a quota of its own.
type Organisation struct {
	Name string
	// Keys holds the hashes of the API keys that identify callers of the organisation.
	Keys []KeyHash
	// Priority replaces that of the route. 0 is the highest.
	Priority int
	// Rate is the number of requests a second that the organisation may send to all nodes together, and Burst the number
	// of requests above it at once. A Rate of 0 means no limit.
	Rate, Burst float64
	// Regions lists the regions whose leaves may run the requests. An empty list allows all regions. A route's list applies
	// as well.
	Regions []string
}

// KeyHash is the SHA-256 hash of an API key. Nodes keep and exchange hashes only, so that no key can appear in a log or a
// message between nodes, and so that the time of a lookup does not depend on how much of a key was guessed.
type KeyHash [sha256.Size]byte

// HashKey returns the hash of an API key.
func HashKey(key string) KeyHash { return sha256.Sum256([]byte(key)) }

// MarshalText returns the hash in hexadecimal.
func (h KeyHash) MarshalText() ([]byte, error) { return hex.AppendEncode(nil, h[:]), nil }

// UnmarshalText parses a hash in hexadecimal.
func (h *KeyHash) UnmarshalText(text []byte) error {
	if len(text) != hex.EncodedLen(len(h)) {
		return fmt.Errorf("key hash has %d characters, %d are needed", len(text), hex.EncodedLen(len(h)))
	}
	_, err := hex.Decode(h[:], text)
	return err
}
