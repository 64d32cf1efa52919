package wire

// Body is the content of an envelope: one of the generated Envelope_ types.
type Body = isEnvelope_Body
