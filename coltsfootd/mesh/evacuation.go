package mesh

import (
	"coltsfootusher.example/coltsfootd/directory"
	"coltsfootusher.example/coltsfootd/meshsetting"
)

// evacuationPlatform returns the reader of the evacuated failure domains, or nil if the settings don't switch them on.
func evacuationPlatform(s meshsetting.Settings, source directory.Platform) (directory.EvacuationPlatform, error) {
	if s.EvacuationSeconds == 0 {
		return nil, nil //nolint:nilnil // The directory then doesn't follow the evacuations.
	}
	reader, ok := source.(directory.EvacuationPlatform)
	if !ok {
		return nil, Error.New("evacuationSeconds is set, but the platform's evacuations can't be read")
	}
	return reader, nil
}
