package poison

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Fingerprint returns the hash by which requests with the same content are recognised. Method and path belong to it,
// because the lookups of a route have no body to tell them apart. It serves once-only operations as well: a caller
// that repeats one with a new id sends the same content.
func Fingerprint(account, route, method, path string, bodyHash uint64) uint64 {
	return hash(bodyHash, account, route, method, path)
}

// HashBody returns the hash of a request body for Fingerprint.
func HashBody(body []byte) uint64 {
	return xxhash.Sum64(body)
}

// SuspectTarget returns the target that runs the suspects of the service in a failure domain, given the domain's live targets
// of the service; it is empty if there is none.
func SuspectTarget(service string, targets []string) string {
	var runner string
	var best uint64
	for _, target := range targets {
		score := hash(0, service, target)
		if runner == "" || score > best || score == best && target < runner {
			runner, best = target, score
		}
	}
	return runner
}

func hash(number uint64, values ...string) uint64 {
	data := binary.BigEndian.AppendUint64(nil, number)
	for _, value := range values {
		data = binary.AppendUvarint(data, uint64(len(value)))
		data = append(data, value...)
	}
	return xxhash.Sum64(data)
}
