package wire

// Body is what an envelope carries: one of the generated Envelope_ types.
type Body = isEnvelope_Body
