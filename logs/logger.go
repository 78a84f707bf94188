package logs

import (
	"io"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"gypsumlead/fault"
)

// Sampling of repeated messages.
const (
	sampleInterval   = time.Second
	sampleFirst      = 100 // lines of one message that are all logged in an interval
	sampleThereafter = 20  // of the lines after these, one in this many is logged
)

// Log is a daemon's logger, with counts of the lines that it left out.
type Log struct {
	*zap.Logger
	writer  *AsyncWriter
	trail   Trail
	sampled atomic.Int64
}

// New returns a log that writes JSON lines of the given level and above to out; an unknown level is an error of kind
// fault.Invalid.
func New(level string, out io.Writer) (*Log, error) {
	minLevel, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, fault.Wrap(fault.Invalid, err, "log level")
	}
	l := &Log{writer: NewAsyncWriter(out)}
	encoder := zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig())
	// The multi-writer lets each line be encoded once for both outputs.
	core := zapcore.NewCore(encoder, zapcore.NewMultiWriteSyncer(l.writer, &l.trail), minLevel)
	hook := zapcore.SamplerHook(func(_ zapcore.Entry, decision zapcore.SamplingDecision) {
		if decision&zapcore.LogDropped != 0 {
			l.sampled.Add(1)
		}
	})
	l.Logger = zap.New(zapcore.NewSamplerWithOptions(core, sampleInterval, sampleFirst, sampleThereafter, hook))
	return l, nil
}

// Dropped returns how many lines were left out by sampling, and how many were lost because the reader was too slow.
func (l *Log) Dropped() (sampled, lost int64) {
	return l.sampled.Load(), l.writer.Dropped()
}

// Trail returns the newest log lines about a job, an instance or a machine as JSON, oldest first.
func (l *Log) Trail(name string) []string { return l.trail.Find(name) }

// Close flushes the log.
func (l *Log) Close() { l.writer.Close() }
