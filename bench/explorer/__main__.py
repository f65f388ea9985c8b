"""Command line of the explorer."""

from __future__ import annotations

import typing

import click

from bench.explorer import checker
from bench.explorer import mutations
from bench.explorer import run
from bench.explorer import schedule as schedule_module


@click.command()
@click.option("--first", type=int, default=1, show_default=True)
@click.option("--count", type=int, default=100, show_default=True)
@click.option(
    "--without",
    "guard",
    type=click.Choice(sorted(mutations.MUTATION_BY_GUARD)),
    help="Take this guard out.",
)
@click.option(
    "--motif",
    type=click.Choice(sorted(schedule_module.named_motifs())),
    help="Draw schedules of this motif only.",
)
@click.option("--shrink", is_flag=True, help="Shrink failing schedules.")
@click.option("--show", is_flag=True, help="Print the log of failing runs.")
@click.option("--blocks", is_flag=True, help="Block servers too.")
@click.option("--lower", is_flag=True, help="Print lower tokens sent before.")
def main(
    first: int,
    count: int,
    guard: str | None,
    motif: str | None,
    shrink: bool,
    show: bool,
    blocks: bool,
    lower: bool,
) -> None:
    """Play random schedules and print the seeds that break a rule."""
    failed: list[int] = []
    totals = dict.fromkeys(("short", "late", "epochs", "held"), 0)
    for seed in range(first, first + count):
        schedule = schedule_module.Schedule.from_seed(seed, motif, blocks)
        result = run.play(schedule, guard)
        totals["short"] += bool(result.short_overlaps)
        totals["late"] += bool(result.late_lower_tokens)
        totals["epochs"] += result.epoch_count
        totals["held"] += result.holding_count
        if lower and result.late_lower_tokens:
            click.echo(f"{seed} {result.late_lower_tokens[0]}")
        if not result.violations:
            continue
        failed.append(seed)
        click.echo(f"{seed} {result.violations[0]}")
        if shrink:
            schedule = run.shrink(schedule, _fails(guard))
            result = run.play(schedule, guard)
            for event in schedule.events:
                click.echo(f"    {event}")
        if show:
            click.echo("\n".join(result.log))
    click.echo(
        f"{count} seeds, {len(failed)} broken: {failed}; "
        f"{totals['short']} with overlaps of up to"
        f" {checker.LONGEST_OVERLAP_SECONDS} s, {totals['late']} with"
        f" lower tokens sent before; {totals['epochs']} epochs,"
        f" {totals['held']} ranges held at the ends"
    )


def _fails(
    guard: str | None,
) -> typing.Callable[[schedule_module.Schedule], bool]:
    return lambda schedule: bool(run.play(schedule, guard).violations)


if __name__ == "__main__":
    main()
