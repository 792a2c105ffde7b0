package main

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"

	"github.com/spf13/cobra"

	"pepperlead/internal/discovery"
	"pepperlead/internal/migration"
)

const defaultStreams = 100

func migrateCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "migrate OLD NEW",
		Args:  exactly(2),
		Short: "Convert the configuration of one client's sidecar for use in a pool of sidecars",
		Long: "Convert the configuration of a sidecar that serves one client (TOML, or the platform's JSON) for " +
			"use in a pool, whose sidecars\n" +
			"serve all clients. Print what changed and what could not be carried over. NEW must not exist. " +
			"With --dry-run nothing is written.\nSee docs/migration.md for the whole procedure.",
		Example: "  pepperlead migrate --dry-run --listen 10.0.0.7:9000 --instances 12 old.toml new.toml",
	}
	pool := migration.Pool{Seed: rand.Uint64()}
	c.Flags().StringVar(&pool.Listen, "listen", "", "`address` at which the pool's front reaches this sidecar")
	c.Flags().IntVar(&pool.Sidecars, "instances", 0, "`number` of sidecars in the pool")
	c.Flags().IntVar(&pool.Streams, "streams", defaultStreams,
		"`number` of requests that a connection may carry at once")
	dryRun := c.Flags().Bool("dry-run", false, "only print what would change; write nothing")
	c.RunE = func(c *cobra.Command, args []string) error {
		if pool.Listen == "" || pool.Sidecars == 0 {
			return fmt.Errorf("migrate: --listen and --instances must be given; %w", errUsage)
		}
		return migrate(c.OutOrStdout(), args[0], args[1], pool, *dryRun)
	}
	return c
}

// migrate writes the converted configuration to a new file and prints what has changed.
func migrate(out io.Writer, from, to string, pool migration.Pool, dryRun bool) error {
	text, err := discovery.ReadFile(from)
	if err != nil {
		return err
	}
	result, err := migration.Convert(from, text, pool)
	if err != nil {
		return err
	}
	if !dryRun {
		if err := writeNew(to, result.Text); err != nil {
			return err
		}
	} else if _, err := os.Lstat(to); err == nil {
		return fmt.Errorf("%s: already exists and would not be overwritten", to)
	}
	for _, line := range result.Changed {
		printf(out, "changed %s\n", line)
	}
	for _, line := range result.Unconverted {
		printf(out, "not carried over %s\n", line)
	}
	if dryRun {
		printf(out, "nothing was written\n")
	}
	return nil
}

// writeNew writes a file that must not exist yet. The file appears under its name only once it is complete.
func writeNew(path string, text []byte) error {
	f, err := os.CreateTemp(filepath.Dir(path), ".migrate-*")
	if err != nil {
		return err
	}
	defer func() {
		_ = os.Remove(f.Name()) // the link keeps the file under its new name
	}()
	_, err = f.Write(text)
	if err := errors.Join(err, f.Sync(), f.Close()); err != nil {
		return err
	}
	err = os.Link(f.Name(), path)
	if errors.Is(err, os.ErrExist) {
		return fmt.Errorf("%s: already exists and is not overwritten", path)
	}
	return err
}
