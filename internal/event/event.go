// Package event numbers the log lines of the proxy.
//
// Each line carries an event number and its name, so that operators can search
// for it and look it up in docs/EVENTS.md. The numbers never change meaning.
// Lines pass through a ring to a single writer, so a caller of Log never waits for
// the disk or the terminal. Lines that are logged while the ring is full are dropped
// and counted. The lines of events that callers cause are limited by rate; the next line of the
// event contains the number of those that were suppressed.
package event

import (
	"context"
	"io"
	"time"

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
	// suppressed is the number of lines of the event that were suppressed before this one.
	suppressed uint64
}

// Log writes numbered events to an output.
type Log struct {
	ring    *duty.Ring[line]
	logger  *logrus.Logger
	limiter *Limiter
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
	l := &Log{ring: duty.NewRing[line](ringCapacity), logger: logger, limiter: NewLimiter()}
	return l, duty.Run(l.write)
}

// Emit logs an event, unless too many of its lines were logged within a short time. It never
// blocks. It may shorten long texts in fields.
func (l *Log) Emit(e Event, fields Fields) {
	allowed, suppressed := l.limiter.Allow(e, time.Now())
	if !allowed {
		return
	}
	shorten(e, fields)
	l.ring.Offer(line{event: e, fields: fields, suppressed: suppressed})
}

// Suppressed returns the number of lines that exceeded the limits of their events.
func (l *Log) Suppressed() uint64 { return l.limiter.Suppressed() }

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
	if item.suppressed > 0 {
		entry = entry.WithField("Suppressed", item.suppressed)
	}
	entry.Log(item.event.level(), item.event.String())
}
