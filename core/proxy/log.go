package proxy

// field returns a field of a log line.
func field(key string, value any) Field { return Field{Key: key, Value: value} }

func (m *Machine) log(level Level, event string, fields ...Field) {
	m.emit(Log{Level: level, Event: event, Fields: fields})
}

func (m *Machine) incrementCounter(name string) { m.emit(Metric{Name: name}) }
