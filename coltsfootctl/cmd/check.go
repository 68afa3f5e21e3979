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

// filesToCheck are the files to check. The published values of a group are compared with each other: those of one directory,
// and those that were named one by one.
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

// classifyPaths sorts the paths by what they hold; a directory stands for the files in it that have a known name.
func classifyPaths(paths []string) (filesToCheck, error) {
	named := make(map[fleet.SectionName]string)
	files := filesToCheck{groups: []map[fleet.SectionName]string{named}}
	for _, path := range paths {
		info, err := os.Stat(path)
		if err != nil {
			return files, err
		}
		if !info.IsDir() {
			if err := files.addFile(path, named); err != nil {
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
		return errs.New("%s holds no file that can be checked, expected one of: %s", directory, strings.Join(names, ", "))
	}
	return nil
}

func (g *filesToCheck) addFile(path string, group map[fleet.SectionName]string) error {
	if section, ok := published.SectionOfFile(path); ok {
		if other, ok := group[section]; ok {
			return errs.New("%s and %s both hold the section %s; check them one after the other", other, path, section)
		}
		group[section] = path
		return nil
	}
	if extension := filepath.Ext(path); extension == ".yaml" || extension == ".yml" {
		g.settings = append(g.settings, path)
		return nil
	}
	return errs.New("%s: the name says nothing about the content, expected a .yaml file or SECTION.json", path)
}
