package cmd

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/alecthomas/kingpin/v2"
	"github.com/zeebo/errs"

	"coltsfootusher.example/coltsfootctl/published"
	"coltsfootusher.example/coltsfootd/setting"
	"coltsfootusher.example/core/fleet"
)

const settingsFileName = "coltsfootd.yaml"

// filesToCheck lists the files by content. References are checked between the files of a group. Each directory is a group,
// and so are all files that were named one by one.
type filesToCheck struct {
	settings []string
	groups   []map[fleet.SectionName]string
}

func checkCommand(app *kingpin.Application) command {
	clause := app.Command("check", "Check settings files, published values, or directories with them. "+
		"Published values that are given together are also compared with each other.")
	paths := clause.Arg("path", "Settings file (.yaml), presets.json, accounts.json, routes.json, services.json, vms.json, "+
		"or a directory.").Required().Strings()
	return command{clause: clause, run: func(_ context.Context, s streams) (int, error) {
		files, err := classifyPaths(*paths)
		if err != nil {
			return exitFailure, err
		}
		problems := 0
		for _, path := range files.settings {
			_, found := setting.Check(path)
			for _, p := range found {
				_, _ = fmt.Fprintln(s.err, p)
			}
			problems += len(found)
		}
		checked := len(files.settings)
		for _, group := range files.groups {
			checked += len(group)
			for _, p := range published.Check(group) {
				_, _ = fmt.Fprintln(s.err, p)
				problems++
			}
		}
		if problems > 0 {
			return exitFailure, errs.New("%d problems in %d files", problems, checked)
		}
		_, _ = fmt.Fprintf(s.out, "%d files checked, no problems\n", checked)
		return exitOK, nil
	}}
}

// classifyPaths groups the paths by content, which follows from their names. Of a directory, it takes the files with a
// known name.
func classifyPaths(paths []string) (filesToCheck, error) {
	namedFiles := make(map[fleet.SectionName]string)
	files := filesToCheck{groups: []map[fleet.SectionName]string{namedFiles}}
	for _, path := range paths {
		info, err := os.Stat(path)
		if err != nil {
			return files, err
		}
		if !info.IsDir() {
			if err := files.addFile(path, namedFiles); err != nil {
				return files, err
			}
			continue
		}
		if err := files.addDirectory(path); err != nil {
			return files, err
		}
	}
	return files, nil
}

func (g *filesToCheck) addDirectory(directory string) error {
	names := []string{settingsFileName}
	for _, section := range fleet.SectionNames() {
		names = append(names, string(section)+".json")
	}
	group := make(map[fleet.SectionName]string)
	found := false
	for _, name := range names {
		path := filepath.Join(directory, name)
		if _, err := os.Stat(path); err != nil {
			continue
		}
		found = true
		if err := g.addFile(path, group); err != nil {
			return err
		}
	}
	g.groups = append(g.groups, group)
	if !found {
		return errs.New("%s contains no file that can be checked, expected one of: %s", directory, strings.Join(names, ", "))
	}
	return nil
}

func (g *filesToCheck) addFile(path string, group map[fleet.SectionName]string) error {
	if section, ok := published.SectionOfFile(path); ok {
		if other, ok := group[section]; ok {
			return errs.New("%s and %s both contain the section %s; check them in separate runs", other, path, section)
		}
		group[section] = path
		return nil
	}
	if extension := filepath.Ext(path); extension == ".yaml" || extension == ".yml" {
		g.settings = append(g.settings, path)
		return nil
	}
	return errs.New("%s: the content cannot be told from the name, expected a .yaml file or SECTION.json", path)
}
