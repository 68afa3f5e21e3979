package status

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"

	"coltsfootusher.example/coltsfootctl/node"
	"coltsfootusher.example/coltsfootd/operator"
	"coltsfootusher.example/core/clock"
	"coltsfootusher.example/core/fleet"
)

// NodeResult is the status of one node, or the error of its query.
type NodeResult struct {
	Address string           `json:"address"`
	Error   string           `json:"error,omitempty"`
	Status  *operator.Status `json:"status,omitempty"`
}

// VersionMismatch is a section that is in force in different versions on different nodes.
type VersionMismatch struct {
	Section fleet.SectionName `json:"section"`
	// NodesByVersion is the number of nodes by version; version 0 means that the node has not read the section yet.
	NodesByVersion map[int64]int `json:"nodes"`
}

// Report is the status of all nodes that were queried.
type Report struct {
	Nodes             []NodeResult       `json:"nodes"`
	Unreachable       int                `json:"silent"`
	VersionMismatches []VersionMismatch  `json:"differences"`
	UnappliedVersions []UnappliedVersion `json:"notApplied"`
}

// UnappliedVersion is a published version that a node has not put in force.
type UnappliedVersion struct {
	Node    string            `json:"node"`
	Section fleet.SectionName `json:"section"`
	Version int64             `json:"version"`
	Reason  string            `json:"reason"`
}

// New returns a report on the results.
func New(results []node.Result[operator.Status]) Report {
	report := Report{VersionMismatches: []VersionMismatch{}, UnappliedVersions: []UnappliedVersion{}}
	for _, a := range results {
		row := NodeResult{Address: a.Address}
		if a.Err != nil {
			row.Error = a.Err.Error()
			report.Unreachable++
		} else {
			row.Status = &a.Value
			report.UnappliedVersions = append(report.UnappliedVersions, unappliedVersions(a.Value)...)
		}
		report.Nodes = append(report.Nodes, row)
	}
	for _, section := range fleet.SectionNames() {
		if d := versionMismatch(report.Nodes, section); len(d.NodesByVersion) > 1 {
			report.VersionMismatches = append(report.VersionMismatches, d)
		}
	}
	return report
}

func unappliedVersions(s operator.Status) []UnappliedVersion {
	var found []UnappliedVersion
	for _, section := range s.Sections {
		if section.RejectedVersion != 0 {
			found = append(found, UnappliedVersion{s.Node, section.Name, section.RejectedVersion, section.RejectedReason})
		}
		if section.ConflictVersion != 0 {
			found = append(found, UnappliedVersion{
				s.Node, section.Name, section.ConflictVersion, "another value has the same version; publish it under a higher one",
			})
		}
	}
	return found
}

func versionMismatch(rows []NodeResult, section fleet.SectionName) VersionMismatch {
	d := VersionMismatch{Section: section, NodesByVersion: make(map[int64]int)}
	for _, row := range rows {
		if row.Status != nil {
			d.NodesByVersion[row.Status.Versions[section]]++
		}
	}
	return d
}

// Consistent reports whether all nodes answered, have the same versions in force and have not failed to apply a version.
func (r Report) Consistent() bool {
	return r.Unreachable == 0 && len(r.VersionMismatches) == 0 && len(r.UnappliedVersions) == 0
}

// WriteJSON prints the report as JSON.
func (r Report) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(r)
}

// WriteTable prints the report as a table. A version is followed by the time since the platform last confirmed it.
func (r Report) WriteTable(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	header := []string{"NODE", "ADDRESS", "DOMAIN", "SERVICE", "STATE", "PRESET"}
	for _, section := range fleet.SectionNames() {
		header = append(header, strings.ToUpper(string(section)))
	}
	header = append(header, "RUNNING", "QUEUE", "WAIT", "WATCHER", "PLATFORM", "PEERS")
	_, _ = fmt.Fprintln(table, strings.Join(header, "\t"))
	for _, row := range r.Nodes {
		_, _ = fmt.Fprintln(table, strings.Join(cells(row), "\t"))
	}
	if err := table.Flush(); err != nil {
		return err
	}
	return r.writeSummary(w)
}

func cells(row NodeResult) []string {
	if row.Status == nil {
		return []string{"-", row.Address, "-", "-", "no answer: " + row.Error}
	}
	s := row.Status
	columns := []string{s.Node, row.Address, s.FailureDomain, s.Service, stateName(*s), cmp.Or(s.ActivePreset, "-")}
	for _, section := range fleet.SectionNames() {
		columns = append(columns, formatVersion(*s, section))
	}
	return append(columns, fmt.Sprintf("%d/%d", s.Load.Running, s.Load.Limit), strconv.Itoa(s.Load.Waiting),
		formatMillis(s.Load.WaitMs), formatWatcherRank(*s), formatPlatformContact(*s), formatPeerContacts(*s))
}

func stateName(s operator.Status) string {
	switch {
	case s.Leaving || s.Load.Leaving:
		return "leaving"
	case !s.Ready:
		return "starting"
	case s.Held:
		return "held"
	default:
		return "live"
	}
}

func formatVersion(s operator.Status, section fleet.SectionName) string {
	text := strconv.FormatInt(s.Versions[section], 10)
	if age, ok := s.AgesMs[section]; ok {
		text += " (" + formatMillis(age) + ")"
	}
	return text
}

// formatWatcherRank returns the rank of the node among the watchers of its failure domain, starting at 1.
func formatWatcherRank(s operator.Status) string {
	if s.WatcherRank < 0 {
		return "-"
	}
	return strconv.Itoa(s.WatcherRank + 1)
}

const platformContactKey = "platform"

func formatPlatformContact(s operator.Status) string {
	if age, ok := s.LastContactMs[platformContactKey]; ok {
		return formatMillis(age)
	}
	return "-"
}

// formatPeerContacts returns the number of peers and the longest time since the last contact with one of them.
func formatPeerContacts(s operator.Status) string {
	var peers int
	oldest := clock.Millis(-1)
	for name, age := range s.LastContactMs {
		if name != platformContactKey {
			peers++
			oldest = max(oldest, age)
		}
	}
	if peers == 0 {
		return "-"
	}
	return fmt.Sprintf("%d (longest %s)", peers, formatMillis(oldest))
}

// formatMillis formats a duration in ms or s; a negative value and clock.Never mean that there was no contact.
func formatMillis(ms clock.Millis) string {
	const second = 1000
	switch {
	case ms < 0 || ms == clock.Never:
		return "never"
	case ms < second:
		return fmt.Sprintf("%dms", ms)
	default:
		return fmt.Sprintf("%.1fs", float64(ms)/second)
	}
}

// formatWarmup tells whether the target of a node is cold or just warm. It returns "" if it is warm.
func formatWarmup(s *operator.Status) string {
	switch {
	case s == nil || s.TargetWarmup == nil:
		return ""
	case s.TargetWarmup.Cold && s.TargetWarmup.Assumed:
		return fmt.Sprintf("the target counts as cold until its state is known (%s)", s.TargetWarmup.Reason)
	case s.TargetWarmup.Cold:
		return fmt.Sprintf("the target is cold for %s (%s)", formatMillis(s.TargetWarmup.LeftMs), s.TargetWarmup.Reason)
	case s.TargetWarmup.Ramping:
		return "the load of the target grows after its warm-up"
	default:
		return ""
	}
}

func (r Report) writeSummary(w io.Writer) error {
	for _, d := range r.VersionMismatches {
		versions := make([]int64, 0, len(d.NodesByVersion))
		for version := range d.NodesByVersion {
			versions = append(versions, version)
		}
		slices.Sort(versions)
		parts := make([]string, 0, len(versions))
		for _, version := range versions {
			parts = append(parts, fmt.Sprintf("version %d on %d nodes", version, d.NodesByVersion[version]))
		}
		if _, err := fmt.Fprintf(w, "%s differ: %s\n", d.Section, strings.Join(parts, ", ")); err != nil {
			return err
		}
	}
	if err := r.writeEvacuations(w); err != nil {
		return err
	}
	for _, n := range r.UnappliedVersions {
		if _, err := fmt.Fprintf(w, "%s did not apply %s version %d: %s\n", n.Node, n.Section, n.Version, n.Reason); err != nil {
			return err
		}
	}
	for _, row := range r.Nodes {
		if text := formatWarmup(row.Status); text != "" {
			if _, err := fmt.Fprintf(w, "%s: %s\n", row.Status.Node, text); err != nil {
				return err
			}
		}
	}
	if r.Unreachable > 0 {
		_, err := fmt.Fprintf(w, "%d of %d nodes did not answer\n", r.Unreachable, len(r.Nodes))
		return err
	}
	return nil
}

// writeEvacuations prints which failure domains are evacuated, and on how many of the nodes that answered.
func (r Report) writeEvacuations(w io.Writer) error {
	nodes := make(map[string]int)
	for _, row := range r.Nodes {
		if row.Status != nil {
			for _, domain := range row.Status.EvacuatedDomains {
				nodes[domain]++
			}
		}
	}
	for _, domain := range slices.Sorted(maps.Keys(nodes)) {
		answered := len(r.Nodes) - r.Unreachable
		_, err := fmt.Fprintf(w, "failure domain %s is evacuated on %d of %d nodes\n", domain, nodes[domain], answered)
		if err != nil {
			return err
		}
	}
	return nil
}
