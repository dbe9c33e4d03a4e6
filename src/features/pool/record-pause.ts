/** The silence of peers after a pause of this entry. */
import type {Pause} from '../../runtime/pause.js';
import type {PoolMember} from './pool-member.js';

/**
 * Adds time that this entry's clock didn't count to the silence of the peers. Each peer then has until its next heartbeat, and the given
 * interval of the checks, to send something: earlier messages may still be unread, or the system time may just have been set.
 */
export function recordPause(members: Iterable<PoolMember>, {milliseconds, monotonicMilliseconds: counted}: Pause, now: number, checkMilliseconds: number): void {
	for (const known of members) {
		const {timeoutMilliseconds, periodMilliseconds} = known.expectedTiming;
		const heartbeat = periodMilliseconds + checkMilliseconds;
		const silentBefore = now - known.heardAt - counted;
		if (silentBefore <= heartbeat) {
			known.heardAt = Math.min(now, Math.max(now - milliseconds - silentBefore, now - timeoutMilliseconds + heartbeat));
		} else {
			known.heardAt -= milliseconds - counted;
		}
	}
}
