package control

import (
	"coltsfootusher.example/core/clock"
	"coltsfootusher.example/core/config"
	"coltsfootusher.example/core/fleet"
	"coltsfootusher.example/core/member"
	"coltsfootusher.example/peer/peerpb"
)

func encodeVersions(versions []config.SectionVersion) []*peerpb.SectionVersion {
	encoded := make([]*peerpb.SectionVersion, len(versions))
	for i, v := range versions {
		encoded[i] = &peerpb.SectionVersion{Name: string(v.Name), Version: v.Version, AgeMs: int64(v.AgeMs)}
	}
	return encoded
}

func decodeVersions(versions []*peerpb.SectionVersion) []config.SectionVersion {
	decoded := make([]config.SectionVersion, len(versions))
	for i, v := range versions {
		decoded[i] = config.SectionVersion{Name: fleet.SectionName(v.Name), Version: v.Version, AgeMs: clock.Millis(v.AgeMs)}
	}
	return decoded
}

func encodeUpdates(updates []config.Update) []*peerpb.SectionUpdate {
	encoded := make([]*peerpb.SectionUpdate, len(updates))
	for i, u := range updates {
		encoded[i] = &peerpb.SectionUpdate{
			Name: string(u.Name), Version: u.Version, BaseVersion: u.BaseVersion, Value: u.Value, Checksum: u.Checksum,
		}
	}
	return encoded
}

// decodeUpdates decodes the updates of one section.
func decodeUpdates(updates []*peerpb.SectionUpdate, name fleet.SectionName) []config.Update {
	var decoded []config.Update
	for _, u := range updates {
		if u.Name == string(name) {
			decoded = append(decoded, config.Update{
				Name: name, Version: u.Version, BaseVersion: u.BaseVersion, Value: u.Value, Checksum: u.Checksum,
			})
		}
	}
	return decoded
}

func encodeNotices(notices []member.Notice) []*peerpb.Notice {
	encoded := make([]*peerpb.Notice, len(notices))
	for i, n := range notices {
		encoded[i] = &peerpb.Notice{Node: n.Node, Incarnation: n.Incarnation, Leaving: n.Leaving}
	}
	return encoded
}
