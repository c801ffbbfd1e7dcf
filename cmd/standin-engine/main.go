// Command standin-engine runs a stand-in for a model engine.
package main

import (
	"context"
	"os"
	"time"

	"github.com/rosemarywing/rosemarywing/internal/command"
	"github.com/rosemarywing/rosemarywing/internal/standin/daemon"
	"github.com/rosemarywing/rosemarywing/internal/standin/engine"
)

type options struct {
	Listen         string        `long:"listen" default:"127.0.0.1:0" description:"address to listen on; port 0 chooses a free one"`
	Name           string        `long:"name" default:"engine" description:"name of the upstream in event IDs"`
	Models         []string      `long:"model" description:"model version that is loaded, as model@version; repeatable; none serves any"`
	Prefill        float64       `long:"prefill" default:"8000" description:"prefill tokens per second"`
	Decode         float64       `long:"decode" default:"50" description:"decode tokens per second of a stream that runs alone"`
	BatchSlowdown  float64       `long:"batch-slowdown" default:"0.03" description:"relative growth of a decode step per further stream"`
	MaxRunning     int           `long:"max-running" default:"32" description:"limit on running requests"`
	MaxTokens      int           `long:"max-tokens" default:"200000" description:"limit on tokens of running requests"`
	CacheTokens    int           `long:"cache-tokens" default:"200000" description:"size of the prefix cache in tokens"`
	Speed          float64       `long:"speed" default:"1" description:"modelled seconds per second; 0 makes work take no time"`
	Keep           time.Duration `long:"keep" default:"2m" description:"how long ended streams can be fetched again"`
	LoadLag        time.Duration `long:"load-lag" default:"0s" description:"age of load reports"`
	CacheLag       time.Duration `long:"cache-lag" default:"0s" description:"age of cache events"`
	LoseCacheEvery int           `long:"lose-cache-every" description:"drop every n-th cache event"`
	ChecksFencing  bool          `long:"checks-fencing" description:"refuse orders with an old fencing number"`
	CrashMarker    string        `long:"crash-marker" description:"end the process when a request with this text in its body starts to run"`
}

func main() { os.Exit(command.Main(run)) }

func run(opts options) error {
	standin := engine.New(engine.Config{
		Name:                   opts.Name,
		Models:                 opts.Models,
		PrefillTokensPerSecond: opts.Prefill,
		DecodeTokensPerSecond:  opts.Decode,
		BatchSlowdown:          opts.BatchSlowdown,
		MaxRunning:             opts.MaxRunning,
		MaxTokens:              opts.MaxTokens,
		CacheTokens:            opts.CacheTokens,
		Speed:                  opts.Speed,
		Retention:              opts.Keep,
		LoadReportLag:          opts.LoadLag,
		CacheEventLag:          opts.CacheLag,
		DropCacheEventEvery:    opts.LoseCacheEvery,
		ChecksFencing:          opts.ChecksFencing,
		Faults:                 engine.Faults{CrashMarker: opts.CrashMarker},
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go standin.Run(ctx)
	return daemon.Serve(opts.Name, opts.Listen, standin.Handler())
}
