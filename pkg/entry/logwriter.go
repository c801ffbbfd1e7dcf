package entry

import (
	"fmt"

	"github.com/go-logr/logr"
	"github.com/zeromicro/go-zero/core/logx"
)

// LogWriter forwards the log of go-zero to a logr.Logger.
type LogWriter struct{ log logr.Logger }

// NewLogWriter returns a LogWriter for logx.SetWriter.
func NewLogWriter(log logr.Logger) LogWriter { return LogWriter{log.WithName("go-zero")} }

// Alert implements logx.Writer.
func (l LogWriter) Alert(v any) { l.log.Error(nil, fmt.Sprint(v)) }

// Close implements logx.Writer.
func (l LogWriter) Close() error { return nil }

// Debug implements logx.Writer.
func (l LogWriter) Debug(v any, fields ...logx.LogField) {
	l.log.V(1).Info(fmt.Sprint(v), keyValues(fields)...)
}

// Error implements logx.Writer.
func (l LogWriter) Error(v any, fields ...logx.LogField) {
	l.log.Error(nil, fmt.Sprint(v), keyValues(fields)...)
}

// Info implements logx.Writer.
func (l LogWriter) Info(v any, fields ...logx.LogField) {
	l.log.Info(fmt.Sprint(v), keyValues(fields)...)
}

// Severe implements logx.Writer.
func (l LogWriter) Severe(v any) { l.log.Error(nil, fmt.Sprint(v)) }

// Slow implements logx.Writer.
func (l LogWriter) Slow(v any, fields ...logx.LogField) {
	l.log.Info(fmt.Sprint(v), keyValues(fields)...)
}

// Stack implements logx.Writer.
func (l LogWriter) Stack(v any) { l.log.Error(nil, fmt.Sprint(v)) }

// Stat implements logx.Writer.
func (l LogWriter) Stat(v any, fields ...logx.LogField) {
	l.log.V(1).Info(fmt.Sprint(v), keyValues(fields)...)
}

// keyValues converts log fields to the key-value pairs of logr.
func keyValues(fields []logx.LogField) []any {
	pairs := make([]any, 0, 2*len(fields))
	for _, field := range fields {
		pairs = append(pairs, field.Key, field.Value)
	}
	return pairs
}
