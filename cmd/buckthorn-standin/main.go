// Command buckthorn-standin serves stand-ins for the platform, model engines, application
// engines and tool services. It is for tests and trials only.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"sort"
	"syscall"

	"github.com/buckthornroute/buckthornroute/internal/standin"
	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"
	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v3"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := command().Run(ctx, os.Args); err != nil {
		logrus.Error(err)
		stop()
		os.Exit(1) //nolint:gocritic // stop has been called
	}
}

func command() *cli.Command {
	return &cli.Command{
		Name:  "buckthorn-standin",
		Usage: "serve stand-ins for the platform, upstreams and tool services, for tests and trials",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Aliases: []string{"c"}, Usage: "TOML `FILE` with the stand-ins", Required: true},
			&cli.FloatFlag{Name: "time-scale", Usage: "real seconds per modelled second; overrides the file's value"},
		},
		Action: run,
	}
}

func run(ctx context.Context, c *cli.Command) error {
	config, err := readConfig(c.String("settings"))
	if err != nil {
		return err
	}
	if c.IsSet("time-scale") {
		config.TimeScale = c.Float("time-scale")
	}
	group, err := standin.Start(config)
	if err != nil {
		return err
	}
	defer group.Close()
	printAddresses(group)
	<-ctx.Done()
	return nil
}

// readConfig reads the settings file. An unknown key is an error that names its line.
func readConfig(path string) (standin.Config, error) {
	var config standin.Config
	file, err := os.Open(path)
	if err != nil {
		return config, errors.Wrapf(err, "settings %q", path)
	}
	defer file.Close()
	err = toml.NewDecoder(file).DisallowUnknownFields().Decode(&config)
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		return config, errors.Newf("settings %q contain unknown keys:\n%s", path, strict.String())
	}
	return config, errors.Wrapf(err, "settings %q", path)
}

// printAddresses prints the name and address of each stand-in, sorted by name.
func printAddresses(group *standin.Group) {
	addresses := group.Addresses()
	names := make([]string, 0, len(addresses))
	for name := range addresses {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		fmt.Printf("%s %s\n", name, addresses[name])
	}
}
