/**
 * Divides capacity among teams.
 *
 * Every team first gets a guaranteed part of its weighted share, as far as it
 * needs it, so that no priority and no size of demand starves another team. The
 * rest goes to the priorities in order, and inside a priority by weighted
 * max-min fairness: what a team does not need is lent to the others.
 */

const guaranteedFraction = 0.5;

/** Need of one team, in units of capacity. */
export interface TeamNeed {
  readonly team: string;
  /** 0 is served first. */
  readonly priority: number;
  readonly weight: number;
  readonly demand: number;
}

/** What a team gets. */
export interface TeamShare {
  readonly team: string;
  readonly amount: number;
  /** Its part of the capacity by weight alone. */
  readonly fairAmount: number;
  /** Whether it gets all it needs. */
  readonly satisfied: boolean;
}

interface Claim {
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
  const claims = needs.map((need): Claim => {
    const fairAmount = weights > 0 ? capacity * need.weight / weights : 0;
    const amount = Math.min(need.demand, fairAmount * guaranteedFraction);
    return { need, fairAmount, amount };
  });
  let left = capacity - claims.reduce((sum, { amount }) => sum + amount, 0);
  const priorities = [...new Set(needs.map(({ priority }) => priority))]
    .sort((a, b) => a - b);
  for (const priority of priorities) {
    const group = claims.filter(({ need }) => need.priority === priority);
    left = addToGroup(group, left);
  }
  return claims.map(({ need, fairAmount, amount }) => ({
    team: need.team,
    amount,
    fairAmount,
    satisfied: amount >= need.demand - tolerance,
  }));
}

/** Raises the lowest amounts per weight first; gives what is left over. */
function addToGroup(group: readonly Claim[], available: number): number {
  let left = available;
  for (;;) {
    const open = group.filter(({ need, amount }) =>
      need.weight > 0 && amount < need.demand - tolerance
    );
    if (open.length === 0 || left <= tolerance) return left;
    const level = (claim: Claim): number => claim.amount / claim.need.weight;
    const lowest = Math.min(...open.map(level));
    const rising = open.filter((claim) => level(claim) <= lowest + tolerance);
    const nextLevel = Math.min(
      ...open.map(level).filter((value) => value > lowest + tolerance),
      ...rising.map(({ need }) => need.demand / need.weight),
    );
    const weights = rising.reduce((sum, { need }) => sum + need.weight, 0);
    const step = Math.min(nextLevel - lowest, left / weights);
    for (const claim of rising) claim.amount += step * claim.need.weight;
    left -= step * weights;
  }
}
