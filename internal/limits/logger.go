package limits

import (
	"log/slog"
	"sync"
	"time"
)

// maxLinesPerSecond bounds the log lines of a service, since a fault may concern all tenants
// at once.
const maxLinesPerSecond = 20

// boundedLogger writes a bounded number of log lines per second. It is safe for concurrent
// use.
type boundedLogger struct {
	logger *slog.Logger
	now    func() time.Duration

	// mutex guards all fields below.
	mutex             sync.Mutex
	second            int64
	lines, suppressed int
}

// Info logs a line, or counts it as suppressed.
func (l *boundedLogger) Info(message string, fields ...any) {
	if suppressed, allowed := l.admit(); allowed {
		if suppressed > 0 {
			fields = append(fields, "lines_suppressed_before", suppressed)
		}
		l.logger.Info(message, fields...)
	}
}

// admit reports whether a line may be logged, and how many were suppressed before it.
func (l *boundedLogger) admit() (suppressed int, allowed bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if second := int64(l.now() / time.Second); second != l.second {
		l.second, l.lines = second, 0
	}
	if l.lines++; l.lines > maxLinesPerSecond {
		l.suppressed++
		return 0, false
	}
	suppressed, l.suppressed = l.suppressed, 0
	return suppressed, true
}
