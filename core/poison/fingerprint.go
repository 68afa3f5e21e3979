package poison

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Fingerprint returns a hash that is equal for requests with the same content. It includes the method and the path, because
// lookups usually differ only in these and have no body. It is used for non-idempotent operations as well: a caller that repeats
// one with a new ID sends the same content.
func Fingerprint(account, route, method, path string, bodyHash uint64) uint64 {
	return hash(bodyHash, account, route, method, path)
}

// HashBody returns the hash of a request body to pass to Fingerprint.
func HashBody(body []byte) uint64 {
	return xxhash.Sum64(body)
}

// SuspectTarget returns the target that runs the suspects of the service in a failure domain. The targets are the live targets
// of the service in that domain; the result is empty if there are none.
func SuspectTarget(service string, targets []string) string {
	var chosen string
	var bestScore uint64
	for _, target := range targets {
		score := hash(0, service, target)
		if chosen == "" || score > bestScore || score == bestScore && target < chosen {
			chosen, bestScore = target, score
		}
	}
	return chosen
}

func hash(seed uint64, values ...string) uint64 {
	data := binary.BigEndian.AppendUint64(nil, seed)
	for _, value := range values {
		data = binary.AppendUvarint(data, uint64(len(value)))
		data = append(data, value...)
	}
	return xxhash.Sum64(data)
}
