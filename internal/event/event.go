// Package event numbers the log lines of the proxy.
//
// Each line carries an event number and its name, so that operators can search
// for it and look it up in docs/EVENTS.md. The numbers never change meaning.
// Lines pass through a ring to a single writer, so a caller of Log never waits for
// the disk or the terminal. Lines that are logged while the ring is full are dropped
// and counted.
package event

import (
	"context"
	"io"

	"github.com/sirupsen/logrus"

	"poplarrouter.example/poplarrouter/internal/duty"
)

// Fields are the named values of one line.
type Fields = logrus.Fields

// ringCapacity is the number of lines that may wait for the writer.
const ringCapacity = 4096

type line struct {
	event  Event
	fields Fields
}

// Log writes numbered events to an output.
type Log struct {
	ring   *duty.Ring[line]
	logger *logrus.Logger
}

// New returns a log that writes JSON lines to w, and a clean-up function that
// writes the lines left in the ring and stops the writer.
func New(w io.Writer) (*Log, func()) {
	logger := logrus.New()
	logger.SetOutput(w)
	logger.SetFormatter(&logrus.JSONFormatter{TimestampFormat: "2006-01-02T15:04:05.000Z07:00", FieldMap: logrus.FieldMap{
		logrus.FieldKeyTime:  "Time",
		logrus.FieldKeyLevel: "Level",
		logrus.FieldKeyMsg:   "Name",
	}})
	l := &Log{ring: duty.NewRing[line](ringCapacity), logger: logger}
	return l, duty.Run(l.write)
}

// Emit logs an event. It never blocks.
func (l *Log) Emit(e Event, fields Fields) {
	l.ring.Offer(line{event: e, fields: fields})
}

// Dropped returns the number of lines dropped because the ring was full.
func (l *Log) Dropped() uint64 { return l.ring.Dropped() }

func (l *Log) write(ctx context.Context) error {
	for {
		select {
		case item := <-l.ring.Items():
			l.print(item)
		case <-ctx.Done():
			l.flush()
			return nil
		}
	}
}

func (l *Log) flush() {
	for {
		select {
		case item := <-l.ring.Items():
			l.print(item)
		default:
			return
		}
	}
}

func (l *Log) print(item line) {
	entry := l.logger.WithFields(item.fields).WithField("Event", int(item.event))
	entry.Log(item.event.level(), item.event.String())
}
