"""Accept, run, cancel and read batch jobs."""
