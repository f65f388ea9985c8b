"""Thrift calls between daemons."""
