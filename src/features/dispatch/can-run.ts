/** Eligibility of remote targets. */
import {isPlainText} from '../../base/is-plain-text.js';
import type {RunRequest} from '../execution/run-request.js';
import {satisfiesConstraints} from '../execution/satisfies-constraints.js';
import type {RemoteTarget} from './remote-target.js';

/** Whether the target satisfies the constraints of the request and has enough free capacity, and its entry receives the request unchanged. */
export function canRun({member, target}: RemoteTarget, request: RunRequest): boolean {
	return request.need.fitsInto(target.room)
		&& target.service === request.service
		&& satisfiesConstraints(request, target.labels)
		&& (member.member.hasExactTexts === true || hasPlainTexts(request));
}

function hasPlainTexts({payload, place: {label = '', nearLabel = ''}}: RunRequest): boolean {
	return [payload, label, nearLabel].every(text => isPlainText(text));
}
