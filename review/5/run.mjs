/** Many jobs come at once, so that tasks go to workers of the other zone; their text begins with a byte order mark. */
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {Channel, jobBody} from '../support-2/channel.mjs';
import {host, prefix, runCase} from '../support-2/fleet.mjs';

const isDisturbed = process.env.TROUBLE !== '0';
/** Jobs at once in the burst; without it they come one at a time. */
const burst = 10;
const rounds = 6;
/** A text as saved by an editor that begins files with U+FEFF. The worker's stand-in takes the number in it as the duration. */
const spec = `\u{FEFF}60${' '.repeat(200)}`;

await runCase('review/5/record.txt', async (fleet, record) => {
	await fleet.startPlatform(['zone-1', 'zone-2'], ['zone-1', 'zone-1', 'zone-1', 'zone-2', 'zone-2', 'zone-2']);
	await fleet.startEntries(['zone-1', 'zone-2']);
	await sleep(4000);
	const [entry] = fleet.entries;
	let jobs = 0;
	const submit = async () => {
		jobs += 1;
		const id = `b${String(jobs).padStart(15, '0')}`;
		const channel = new Channel(entry.front);
		await channel.opened;
		const sentAt = Date.now();
		const fields = [['count', 1], ['est_runtime_ms', 60]];
		const answer = await channel.request('POST', `${prefix}${id}`, {host, 'content-type': 'application/json', 'deadline-ms': '1500'}, jobBody(spec, fields));
		record.write('request', {
			id, status: answer?.status, body: answer?.body, afterMilliseconds: Date.now() - sentAt,
		});
		channel.close();
	};

	for (let round = 0; round < rounds; round += 1) {
		await Promise.all(Array.from({length: isDisturbed ? burst : 1}, submit));
		await sleep(300);
	}

	const events = await fleet.events();
	const starts = events.filter(({kind}) => kind === 'start');
	for (const {task, attempt, worker, payload} of starts) {
		record.write('start', {
			task, attempt, worker, specLength: payload.length, firstCodePoint: payload.codePointAt(0).toString(16), isUnchanged: payload === spec,
		});
	}

	if (starts.length === 0) {
		throw new Error('nothing was started');
	}

	const changed = starts.filter(({payload}) => payload !== spec);
	record.write('summary', {jobs, starts: starts.length, changed: changed.length});
	console.log(`${jobs} jobs, ${starts.length} starts, ${changed.length} of them with another spec`);
	return changed.length === 0 ? undefined : {rule: 'UNASKED', changed: changed.length, first: changed[0].task};
});
