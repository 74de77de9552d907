//! Computes the target allowances of a team's sessions from what they want and what they have.

/// A session keeps one fourth of its equal share while it wants less, so that the first requests of an idle
/// session start without waiting for an allowance.
const RESERVE_DIVISOR: u32 = 4;

/// Returns the target allowance of each session; the sum is at most `limit`. A session that has more than it
/// wants keeps it unless another session needs it, so that small changes of demand move no allowance.
pub fn target_allowances(limit: u32, wanted: &[u32], current: &[u32]) -> Vec<u32> {
    let count = wanted.len() as u32;
    if count == 0 {
        return Vec::new();
    }
    let reserve = limit / count / RESERVE_DIVISOR;
    let needs: Vec<u32> = wanted
        .iter()
        .map(|wanted| (*wanted).max(reserve).min(limit))
        .collect();
    let fair = max_min_shares(limit, &needs);
    let mut target = fair.clone();
    let mut remaining = limit - fair.iter().sum::<u32>();
    for index in 0..target.len() {
        let kept = current[index].saturating_sub(target[index]).min(remaining);
        target[index] += kept;
        remaining -= kept;
    }
    target
}

/// Max-min fair division of `limit` in whole slots.
fn max_min_shares(limit: u32, needs: &[u32]) -> Vec<u32> {
    let mut order: Vec<usize> = (0..needs.len()).collect();
    order.sort_by_key(|index| needs[*index]);
    let mut shares = vec![0; needs.len()];
    let mut remaining = limit;
    for (position, index) in order.iter().enumerate() {
        let unserved = (needs.len() - position) as u32;
        let share = needs[*index].min(remaining / unserved);
        shares[*index] = share;
        remaining -= share;
    }
    // The remainder of the division goes to the largest needs, one slot each.
    for index in order.into_iter().rev() {
        if remaining > 0 && shares[index] < needs[index] {
            shares[index] += 1;
            remaining -= 1;
        }
    }
    shares
}
