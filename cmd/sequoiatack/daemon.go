package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"github.com/go-logr/logr"
	"github.com/spf13/cobra"

	"github.com/sequoiatack/sequoiatack/internal/base/sqlog"
	"github.com/sequoiatack/sequoiatack/internal/base/sqsettings"
	"github.com/sequoiatack/sequoiatack/internal/edge/sqdaemon"
	"github.com/sequoiatack/sequoiatack/platform"
)

func newDaemon() *cobra.Command {
	var file string
	cmd := &cobra.Command{
		Use:   "daemon --settings FILE.toml",
		Short: "Run a daemon",
		Long: `Run a daemon until SIGTERM or SIGINT, which stop it gracefully.
A second signal, or the end of stopTimeout, aborts the requests in progress.`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return runDaemon(cmd.Context(), file)
		},
	}
	cmd.Flags().StringVar(&file, "settings", "", "settings file in TOML")
	_ = cmd.MarkFlagRequired("settings")
	return cmd
}

// maxProcessors limits the processors that a daemon uses, unless the environment
// sets GOMAXPROCS: with more, waking idle processors delays calls more than it gains.
const maxProcessors = 4

// runtimeMemoryFraction is the fraction of the setting memory.limit that becomes the
// Go runtime's soft limit. The rest is for the program's code, stacks of the C
// library, and socket buffers.
const runtimeMemoryFraction = 0.75

// runDaemon runs a daemon until ctx ends, which the first signal causes.
func runDaemon(ctx context.Context, file string) error {
	cfg, err := sqsettings.Load(file)
	if err != nil {
		return err
	}
	logWriter := &sqlog.Writer{Out: os.Stdout}
	writerCtx, stopWriter := context.WithCancel(context.WithoutCancel(ctx))
	writerDone := make(chan error, 1)
	go func() { writerDone <- logWriter.Run(writerCtx) }()
	defer func() {
		stopWriter()
		if err := <-writerDone; err != nil {
			fmt.Fprintln(os.Stderr, "sequoiatack:", err)
		}
	}()
	log, err := sqlog.New(logWriter, cfg.Log.Level)
	if err != nil {
		return err
	}
	if os.Getenv("GOMAXPROCS") == "" {
		runtime.GOMAXPROCS(min(runtime.NumCPU(), maxProcessors))
	}
	debug.SetGCPercent(cfg.Memory.GrowthPercent)
	debug.SetMemoryLimit(int64(runtimeMemoryFraction * float64(cfg.Memory.Limit)))
	// It goes on during a graceful stop, which a SIGHUP would otherwise end.
	hangupCtx, stopHangups := context.WithCancel(context.WithoutCancel(ctx))
	defer stopHangups()
	go logChangesOnHangup(hangupCtx, file, cfg, log)
	d := &sqdaemon.Daemon{Settings: cfg, Logger: log}
	if cfg.Interface == sqsettings.InterfacePlatform {
		d.Adapter = &platform.Adapter{Settings: cfg, Logger: log}
	}
	// A second signal ends abortCtx, which cuts the graceful stop short.
	abortCtx, abort := context.WithCancel(context.WithoutCancel(ctx))
	defer abort()
	context.AfterFunc(ctx, func() { onSignal(abortCtx, abort) })
	return d.Run(ctx, abortCtx)
}

// onSignal waits for the next SIGTERM or SIGINT and calls f, unless ctx ends first.
func onSignal(ctx context.Context, f func()) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	select {
	case <-signals:
		f()
	case <-ctx.Done():
	}
}

// logChangesOnHangup loads the settings file on each SIGHUP and logs which fields
// differ from current, the settings that the daemon was started with. It does not
// apply them: a difference takes effect only after a restart. A file that can't be
// loaded is reported in the log.
func logChangesOnHangup(ctx context.Context, file string, current sqsettings.Settings, log logr.Logger) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		}
		cfg, err := sqsettings.Load(file)
		if err != nil {
			log.Error(err, "can't reload settings")
			continue
		}
		log.Info("settings reloaded", "needRestart", sqsettings.Differences(current, cfg))
	}
}
