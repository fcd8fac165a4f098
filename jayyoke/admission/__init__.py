"""Decisions on who is admitted while there is too little room, free of I/O."""
