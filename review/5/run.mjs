/** A client cancels its running job after a machine was added, so that its new channel reaches another daemon. */
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {Channel, Ingress, jobBody} from '../support-2/channel.mjs';
import {host, prefix, runCase} from '../support-2/fleet.mjs';

const isDisturbed = process.env.TROUBLE !== '0';
const cancelMilliseconds = 3000;
const killMilliseconds = 50;
const id = '5e1ec7ed0badcafe';
/** By its hash, the first of two daemons and the third of three. */
const client = 2;
const workMilliseconds = '1500';
/** The client cancels this much after it sent its job. */
const cancelAfterMilliseconds = 1200;

await runCase('review/5/record.txt', async (fleet, record) => {
	await fleet.startPlatform(['zone-1'], ['zone-1', 'zone-1', 'zone-1']);
	await fleet.startEntries(['zone-1', 'zone-1']);
	const ingress = new Ingress(fleet.entries);
	await sleep(5000);

	if (isDisturbed) {
		const added = fleet.addEntry('zone-1');
		record.write('a machine is added', {entry: added.name});
	}

	const first = ingress.choose(client);
	const submission = new Channel(first.front);
	await submission.opened;
	const sentAt = Date.now();
	record.write('POST', {id, entry: first.name});
	const post = async () => {
		const answer = await submission.request('POST', `${prefix}${id}`, {host, 'content-type': 'application/json', 'deadline-ms': '20000'}, jobBody(workMilliseconds, [['count', 32]]));
		record.write('answer to POST', {...answer, afterMilliseconds: Date.now() - sentAt});
	};

	const posted = post();
	await sleep(cancelAfterMilliseconds);

	const second = ingress.choose(client);
	const cancelling = new Channel(second.front);
	await cancelling.opened;
	record.write('DELETE', {id, entry: second.name});
	const cancelled = await cancelling.request('DELETE', `${prefix}${id}`, {host});
	const ackAt = Date.now();
	record.write('answer to DELETE', {...cancelled, afterMilliseconds: ackAt - sentAt});
	cancelling.close();
	if (cancelled?.status !== 200 && cancelled?.status !== 410) {
		throw new Error('the cancelling was not acknowledged');
	}

	await Promise.race([posted, sleep(20_000)]);
	await sleep(2500);
	const all = await fleet.events();
	const events = all.filter(({task}) => task.startsWith(id));
	for (const {at, kind, how, task, attempt, worker} of events) {
		record.write('run', {
			kind, how, task, attempt, worker, afterAckMilliseconds: at - ackAt,
		});
	}

	if (events.length === 0) {
		throw new Error('the job did not begin');
	}

	const lateStarts = events.filter(({kind, at}) => kind === 'start' && at - ackAt > cancelMilliseconds);
	const lateEnds = events.filter(({kind, at}) => kind === 'end' && at - ackAt > cancelMilliseconds + killMilliseconds);
	record.write('summary', {
		chosenFirst: first.name,
		chosenForCancel: second.name,
		ack: cancelled.status,
		starts: events.filter(({kind}) => kind === 'start').length,
		lateStarts: lateStarts.length,
		lateEnds: lateEnds.length,
	});
	console.log(`DELETE answered ${cancelled.status}; ${lateStarts.length} starts and ${lateEnds.length} ends later than the bound`);
	await ingress.end();
	return lateStarts.length + lateEnds.length === 0 ? undefined : {rule: 'UNASKED', lateStarts: lateStarts.length, lateEnds: lateEnds.length};
});
