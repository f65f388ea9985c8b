"""Randomized explorer, in virtual time, of who owns which keys.

`schedule` draws the events of a run from a seed, `world` and `hosts` play
them against the real coordinator and elector, `checker` judges what the
servers held, `mutations` takes one guard out, `run` puts them together and
`shrink` removes events that a failure does not need.

Run it as `python -m bench.explorer --first 1 --count 200`.

The store may return from an older copy in schedules of the motifs
`restored_store` and `lost_successor`, which are drawn only if they are named.
Appends that were delayed end with the era in which they were sent.

Not modelled: copies of answers, which the client of the servers drops;
addresses that are used again; entries of other writers; planned departures.
"""
