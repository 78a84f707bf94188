package logs

import (
	"io"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"gypsumlead/fault"
)

// Bounds on how often the same message is logged.
const (
	samplePeriod = time.Second
	sampleFirst  = 100 // lines of one message in a period that are all logged
	sampleEach   = 20  // of those beyond, one in so many
)

// Log is a daemon's log with the count of what it left out.
type Log struct {
	*zap.Logger
	writer  *AsyncWriter
	trail   Trail
	sampled atomic.Int64
}

// New returns a log of JSON lines to out, from a least severe level on.
func New(level string, out io.Writer) (*Log, error) {
	at, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, fault.Wrap(fault.Invalid, err, "log level")
	}
	l := &Log{writer: NewAsyncWriter(out)}
	encoder := zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig())
	// Each line is encoded once for both.
	core := zapcore.NewCore(encoder, zapcore.NewMultiWriteSyncer(l.writer, &l.trail), at)
	hook := zapcore.SamplerHook(func(_ zapcore.Entry, d zapcore.SamplingDecision) {
		if d&zapcore.LogDropped != 0 {
			l.sampled.Add(1)
		}
	})
	l.Logger = zap.New(zapcore.NewSamplerWithOptions(core, samplePeriod, sampleFirst, sampleEach, hook))
	return l, nil
}

// Dropped returns how many lines were left out: by sampling, and because the reader was too slow.
func (l *Log) Dropped() (sampled, lost int64) {
	return l.sampled.Load(), l.writer.Dropped()
}

// Trail returns the newest lines about a job, an instance or a machine, in JSON and in the order of their times.
func (l *Log) Trail(name string) []string { return l.trail.Find(name) }

// Close passes on what waits.
func (l *Log) Close() { l.writer.Close() }
