/**
 * Divides capacity among teams.
 *
 * Every team first gets a guaranteed part of its weighted share, as far as it
 * needs it, so that no priority and no amount of demand starves another team. The
 * rest goes to the priorities in order, and within a priority by weighted max-min
 * fairness: what a team does not need is lent to the others.
 */

/** Part of its weighted share that a team gets before priorities count. */
const guaranteedFraction = 0.5;

/** Demand of one team, in units of capacity. */
export interface TeamNeed {
  readonly team: string;
  /** 0 is served first. */
  readonly priority: number;
  readonly weight: number;
  readonly demand: number;
}

/** Capacity allocated to one team. */
export interface TeamShare {
  readonly team: string;
  readonly amount: number;
  /** Part of the capacity by weight alone. */
  readonly fairAmount: number;
  /** Whether the whole demand is met. */
  readonly satisfied: boolean;
}

interface Allocation {
  readonly need: TeamNeed;
  readonly fairAmount: number;
  amount: number;
}

const tolerance = 1e-9;

/** Divides `capacity` among the teams. */
export function computeShares(
  capacity: number,
  needs: readonly TeamNeed[],
): readonly TeamShare[] {
  const weights = needs.reduce((sum, { weight }) => sum + weight, 0);
  const allocations = needs.map((need): Allocation => {
    const fairAmount = weights > 0 ? capacity * need.weight / weights : 0;
    const amount = Math.min(need.demand, fairAmount * guaranteedFraction);
    return { need, fairAmount, amount };
  });
  let remaining = capacity -
    allocations.reduce((sum, { amount }) => sum + amount, 0);
  const priorities = [...new Set(needs.map(({ priority }) => priority))]
    .sort((a, b) => a - b);
  for (const priority of priorities) {
    const group = allocations.filter(({ need }) => need.priority === priority);
    remaining = addToGroup(group, remaining);
  }
  return allocations.map(({ need, fairAmount, amount }) => ({
    team: need.team,
    amount,
    fairAmount,
    satisfied: amount >= need.demand - tolerance,
  }));
}

/**
 * Progressive filling: raises the lowest amounts per weight first.
 *
 * @returns Capacity left over.
 */
function addToGroup(group: readonly Allocation[], available: number): number {
  let remaining = available;
  for (;;) {
    const unsatisfied = group.filter(({ need, amount }) =>
      need.weight > 0 && amount < need.demand - tolerance
    );
    if (unsatisfied.length === 0 || remaining <= tolerance) return remaining;
    const level = (allocation: Allocation): number =>
      allocation.amount / allocation.need.weight;
    const lowest = Math.min(...unsatisfied.map(level));
    const raised = unsatisfied.filter((allocation) =>
      level(allocation) <= lowest + tolerance
    );
    const nextLevel = Math.min(
      ...unsatisfied.map(level).filter((value) => value > lowest + tolerance),
      ...raised.map(({ need }) => need.demand / need.weight),
    );
    const weights = raised.reduce((sum, { need }) => sum + need.weight, 0);
    const step = Math.min(nextLevel - lowest, remaining / weights);
    for (const entry of raised) entry.amount += step * entry.need.weight;
    remaining -= step * weights;
  }
}
