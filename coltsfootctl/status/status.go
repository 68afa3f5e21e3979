package status

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"

	"coltsfootusher.example/coltsfootctl/node"
	"coltsfootusher.example/coltsfootd/operator"
	"coltsfootusher.example/core/clock"
	"coltsfootusher.example/core/fleet"
)

// Row is the state of one node, or the reason why it is not known.
type Row struct {
	Address string           `json:"address"`
	Error   string           `json:"error,omitempty"`
	Status  *operator.Status `json:"status,omitempty"`
}

// Difference is a section of which the nodes have different versions in force.
type Difference struct {
	Section fleet.SectionName `json:"section"`
	// Nodes counts the nodes by version; version 0 stands for a section that was never read.
	Nodes map[int64]int `json:"nodes"`
}

// Report is the state of all nodes that were asked.
type Report struct {
	Nodes       []Row        `json:"nodes"`
	Silent      int          `json:"silent"`
	Differences []Difference `json:"differences"`
	NotApplied  []NotApplied `json:"notApplied"`
}

// NotApplied is a published version that a node did not put in force.
type NotApplied struct {
	Node    string            `json:"node"`
	Section fleet.SectionName `json:"section"`
	Version int64             `json:"version"`
	Reason  string            `json:"reason"`
}

// New returns the report of the answers.
func New(answers []node.Answer[operator.Status]) Report {
	report := Report{Differences: []Difference{}, NotApplied: []NotApplied{}}
	for _, a := range answers {
		row := Row{Address: a.Address}
		if a.Err != nil {
			row.Error = a.Err.Error()
			report.Silent++
		} else {
			row.Status = &a.Value
			report.NotApplied = append(report.NotApplied, notApplied(a.Value)...)
		}
		report.Nodes = append(report.Nodes, row)
	}
	for _, section := range fleet.SectionNames() {
		if d := difference(report.Nodes, section); len(d.Nodes) > 1 {
			report.Differences = append(report.Differences, d)
		}
	}
	return report
}

func notApplied(s operator.Status) []NotApplied {
	var found []NotApplied
	for _, section := range s.Sections {
		if section.RejectedVersion != 0 {
			found = append(found, NotApplied{s.Node, section.Name, section.RejectedVersion, section.RejectedReason})
		}
		if section.ConflictVersion != 0 {
			found = append(found, NotApplied{
				s.Node, section.Name, section.ConflictVersion, "another value has the same version; publish it under a higher one",
			})
		}
	}
	return found
}

func difference(rows []Row, section fleet.SectionName) Difference {
	d := Difference{Section: section, Nodes: make(map[int64]int)}
	for _, row := range rows {
		if row.Status != nil {
			d.Nodes[row.Status.Versions[section]]++
		}
	}
	return d
}

// Agreed reports whether every node answered, all have the same versions in force and none rejected a newer one.
func (r Report) Agreed() bool {
	return r.Silent == 0 && len(r.Differences) == 0 && len(r.NotApplied) == 0
}

// WriteJSON prints the report as JSON.
func (r Report) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(r)
}

// WriteTable prints the report as a table; a version is followed by the time since the platform last confirmed it.
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

func cells(row Row) []string {
	if row.Status == nil {
		return []string{"-", row.Address, "-", "-", "no answer: " + row.Error}
	}
	s := row.Status
	texts := []string{s.Node, row.Address, s.FailureDomain, s.Service, state(*s), cmp.Or(s.ActivePreset, "-")}
	for _, section := range fleet.SectionNames() {
		texts = append(texts, version(*s, section))
	}
	return append(texts, fmt.Sprintf("%d/%d", s.Load.Running, s.Load.Limit), strconv.Itoa(s.Load.Waiting),
		duration(s.Load.WaitMs), watcher(*s), platformContact(*s), peerContact(*s))
}

func state(s operator.Status) string {
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

func version(s operator.Status, section fleet.SectionName) string {
	text := strconv.FormatInt(s.Versions[section], 10)
	if age, ok := s.AgesMs[section]; ok {
		text += " (" + duration(age) + ")"
	}
	return text
}

// watcher returns the rank among the watchers of the failure domain, counted from 1.
func watcher(s operator.Status) string {
	if s.WatcherRank < 0 {
		return "-"
	}
	return strconv.Itoa(s.WatcherRank + 1)
}

const platformName = "platform"

func platformContact(s operator.Status) string {
	if age, ok := s.LastContactMs[platformName]; ok {
		return duration(age)
	}
	return "-"
}

// peerContact counts the peers and shows the longest silence among them.
func peerContact(s operator.Status) string {
	var peers int
	oldest := clock.Millis(-1)
	for name, age := range s.LastContactMs {
		if name != platformName {
			peers++
			oldest = max(oldest, age)
		}
	}
	if peers == 0 {
		return "-"
	}
	return fmt.Sprintf("%d (longest %s)", peers, duration(oldest))
}

// duration prints a time in ms or s; negative times and clock.Never mean that there was no contact.
func duration(ms clock.Millis) string {
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

func (r Report) writeSummary(w io.Writer) error {
	for _, d := range r.Differences {
		versions := make([]int64, 0, len(d.Nodes))
		for version := range d.Nodes {
			versions = append(versions, version)
		}
		slices.Sort(versions)
		parts := make([]string, 0, len(versions))
		for _, version := range versions {
			parts = append(parts, fmt.Sprintf("version %d on %d nodes", version, d.Nodes[version]))
		}
		if _, err := fmt.Fprintf(w, "%s differ: %s\n", d.Section, strings.Join(parts, ", ")); err != nil {
			return err
		}
	}
	for _, n := range r.NotApplied {
		if _, err := fmt.Fprintf(w, "%s did not apply %s version %d: %s\n", n.Node, n.Section, n.Version, n.Reason); err != nil {
			return err
		}
	}
	if r.Silent > 0 {
		_, err := fmt.Fprintf(w, "%d of %d nodes did not answer\n", r.Silent, len(r.Nodes))
		return err
	}
	return nil
}
