package gateway

import (
	"bufio"
	"context"
	"io"
	"reflect"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"baobabfield.example/core/proxy"
)

const (
	// logQueueLength is the number of lines that can wait to be written.
	logQueueLength = 2048
	// logFlushInterval is the time between two flushes of the buffered output.
	logFlushInterval = 200 * time.Millisecond
	// debugLinesPerSecond, infoLinesPerSecond and warnLinesPerSecond limit the lines
	// written per level. A host at full load executes about a hundred statements per
	// second. The higher limit for warnings keeps failures when lines about successes
	// are dropped.
	debugLinesPerSecond = 10
	infoLinesPerSecond  = 120
	warnLinesPerSecond  = 200
)

var droppedLines = [...]*metrics.Counter{
	proxy.Debug: metrics.NewCounter(`baobab_log_lines_dropped_total{level="debug"}`),
	proxy.Info:  metrics.NewCounter(`baobab_log_lines_dropped_total{level="info"}`),
	proxy.Warn:  metrics.NewCounter(`baobab_log_lines_dropped_total{level="warn"}`),
}

// LogWriter writes structured log lines. Only its own task waits for the underlying
// writer.
type LogWriter struct {
	queue      chan proxy.Log
	done       chan struct{}
	encoder    zapcore.Encoder
	w          *bufio.Writer
	baseFields []zapcore.Field
}

// NewLogWriter returns a log writer for w that adds the base fields to every line.
func NewLogWriter(w io.Writer, base ...proxy.Field) *LogWriter {
	cfg := zap.NewProductionEncoderConfig()
	cfg.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	cfg.EncodeDuration = zapcore.StringDurationEncoder
	return &LogWriter{
		queue: make(chan proxy.Log, logQueueLength), done: make(chan struct{}),
		encoder: zapcore.NewJSONEncoder(cfg), w: bufio.NewWriterSize(w, 32<<10), baseFields: zapFields(base),
	}
}

// Enqueue queues a line. It never blocks: if the queue is full, the line is counted
// as dropped.
func (l *LogWriter) Enqueue(line proxy.Log) {
	select {
	case l.queue <- line:
	default:
		droppedLines[line.Level].Inc()
	}
}

// Run writes lines until the context ends, and then writes the lines that are still
// queued.
func (l *LogWriter) Run(ctx context.Context) {
	defer close(l.done)
	ticker := time.NewTicker(logFlushInterval)
	defer ticker.Stop()
	budget := newLineBudget()
	for {
		select {
		case <-ctx.Done():
			l.writeQueued(budget)
			return
		case line := <-l.queue:
			l.writeLine(budget, line)
		case <-ticker.C:
			budget.refill()
			_ = l.w.Flush()
		}
	}
}

func (l *LogWriter) writeQueued(budget *lineBudget) {
	for {
		select {
		case line := <-l.queue:
			l.writeLine(budget, line)
		default:
			_ = l.w.Flush()
			return
		}
	}
}

// Done returns a channel that closes when all queued lines have been written.
func (l *LogWriter) Done() <-chan struct{} { return l.done }

var zapLevels = [...]zapcore.Level{proxy.Debug: zapcore.DebugLevel, proxy.Info: zapcore.InfoLevel, proxy.Warn: zapcore.WarnLevel}

func (l *LogWriter) writeLine(budget *lineBudget, line proxy.Log) {
	if !budget.allow(line.Level) {
		droppedLines[line.Level].Inc()
		return
	}
	entry := zapcore.Entry{Level: zapLevels[line.Level], Time: time.Now(), Message: line.Event}
	buf, err := l.encoder.EncodeEntry(entry, append(zapFields(line.Fields), l.baseFields...))
	if err != nil {
		droppedLines[line.Level].Inc()
		return
	}
	// A write error also fails all later writes of the buffered writer, and there is no
	// other output to report it to.
	_, _ = l.w.Write(buf.Bytes())
	buf.Free()
}

func zapFields(fields []proxy.Field) []zapcore.Field {
	out := make([]zapcore.Field, 0, len(fields)+1)
	for _, f := range fields {
		out = append(out, zap.Any(f.Key, boundText(f.Value)))
	}
	return out
}

// maxFieldBytes is the longest text in a field of a log line. Callers choose the IDs of their
// statements and the names of databases, of up to 1 MiB.
const maxFieldBytes = 256

// boundText shortens a text that exceeds maxFieldBytes. It returns other values as they are.
func boundText(value any) any {
	v := reflect.ValueOf(value)
	if v.Kind() != reflect.String || v.Len() <= maxFieldBytes {
		return value
	}
	return v.String()[:maxFieldBytes] + "..."
}

// lineBudget limits the lines per second by level with token buckets.
type lineBudget struct{ remaining [proxy.Warn + 1]float64 }

var linesPerSecond = [...]float64{proxy.Debug: debugLinesPerSecond, proxy.Info: infoLinesPerSecond, proxy.Warn: warnLinesPerSecond}

func newLineBudget() *lineBudget { return &lineBudget{remaining: linesPerSecond} }

func (b *lineBudget) refill() {
	for i := range b.remaining {
		b.remaining[i] = min(linesPerSecond[i], b.remaining[i]+linesPerSecond[i]*logFlushInterval.Seconds())
	}
}

func (b *lineBudget) allow(level proxy.Level) bool {
	if b.remaining[level] < 1 {
		return false
	}
	b.remaining[level]--
	return true
}
