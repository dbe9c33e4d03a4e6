/** Records in the log which entries a zone has had. */
import * as z from 'zod';
import type {AvailabilityZone} from '../../base/availability-zone.js';
import type {CancellationToken} from '../../base/cancellation-token.js';
import type {Clock} from '../../base/clock.js';
import type {MemberId} from '../../base/member-id.js';
import type {StreamOffset} from '../../base/stream-offset.js';
import {wait} from '../../base/wait.js';
import type {LogStream} from '../../runtime/stream/log-stream.js';

const appendRetryMilliseconds = 2000;

const birthSchema = z.looseObject({kind: z.literal('birth'), zone: z.string(), member: z.string()});

/**
 * Each entry appends a record to a log stream when it starts. An entry reads the stream to determine whether its zone is
 * new: no former entry of the zone is recorded, and the log has not been trimmed.
 */
export class ZoneHistory {
	constructor(private readonly stream: LogStream, private readonly clock: Clock) {}

	/** False if the zone may have had entries that are no longer alive. */
	async isNewZone(zone: AvailabilityZone, isAlive: (member: MemberId) => boolean, token: CancellationToken): Promise<boolean> {
		let from = 0 as StreamOffset;
		for (;;) {
			const reading = await this.stream.read(from, 0, token);
			if (reading.kind === 'unavailable' || reading.page.firstOffset > 0) {
				return false;
			}

			const {records, nextOffset} = reading.page;
			const births = records.flatMap(record => {
				const checked = birthSchema.safeParse(record.body);
				return checked.success ? [checked.data] : [];
			});
			if (births.some(birth => birth.zone === zone && !isAlive(birth.member as MemberId))) {
				return false;
			}

			from = ((records.at(-1)?.offset ?? nextOffset - 1) + 1) as StreamOffset;
			if (from >= nextOffset) {
				return true;
			}
		}
	}

	/** Appends this entry's start record, and retries until the append is confirmed. */
	async recordStart(zone: AvailabilityZone, member: MemberId, token: CancellationToken): Promise<void> {
		while (!token.isCancellationRequested) {
			const appended = await this.stream.append({
				kind: 'birth', zone, member, at: this.clock.wallTime(),
			}, token);
			if (appended.kind === 'appended') {
				return;
			}

			await wait(this.clock, appendRetryMilliseconds);
		}
	}
}
