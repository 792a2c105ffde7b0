package daemon

import (
	"fmt"
	"time"

	"github.com/sirupsen/logrus"
)

const textTimestamp = "15:04:05.000"

// NewLogger returns a logger that writes to standard error. The format is text or json.
func NewLogger(level, format string) (*logrus.Logger, error) {
	log := logrus.New()
	switch format {
	case "text":
		log.SetFormatter(&logrus.TextFormatter{
			DisableColors:   true,
			FullTimestamp:   true,
			TimestampFormat: textTimestamp,
		})
	case "json":
		log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	default:
		return nil, fmt.Errorf("log format: found %q, allowed text or json", format)
	}
	var err error
	log.Level, err = logrus.ParseLevel(level)
	return log, err
}
