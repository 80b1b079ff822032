package raftmember

import (
	"fmt"
	"log/slog"
)

// raftLogger implements raft.Logger. Warnings and errors keep their level; raft's info, a few lines for each election,
// is logged at debug. Fatal and Panic panic: raft calls them when its state is inconsistent, and continuing could lose
// what was committed.
type raftLogger struct{ log *slog.Logger }

func (l raftLogger) Debug(v ...any)                   { l.log.Debug(fmt.Sprint(v...)) }
func (l raftLogger) Debugf(format string, v ...any)   { l.log.Debug(fmt.Sprintf(format, v...)) }
func (l raftLogger) Info(v ...any)                    { l.log.Debug(fmt.Sprint(v...)) }
func (l raftLogger) Infof(format string, v ...any)    { l.log.Debug(fmt.Sprintf(format, v...)) }
func (l raftLogger) Warning(v ...any)                 { l.log.Warn(fmt.Sprint(v...)) }
func (l raftLogger) Warningf(format string, v ...any) { l.log.Warn(fmt.Sprintf(format, v...)) }
func (l raftLogger) Error(v ...any)                   { l.log.Error(fmt.Sprint(v...)) }
func (l raftLogger) Errorf(format string, v ...any)   { l.log.Error(fmt.Sprintf(format, v...)) }
func (l raftLogger) Fatal(v ...any)                   { l.Panic(v...) }
func (l raftLogger) Fatalf(format string, v ...any)   { l.Panicf(format, v...) }
func (l raftLogger) Panic(v ...any)                   { panic(fmt.Sprint(v...)) }
func (l raftLogger) Panicf(format string, v ...any)   { panic(fmt.Sprintf(format, v...)) }
