"""Room for requests at targets, in queues and in memory."""
